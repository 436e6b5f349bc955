package sprucehold.picker;

/** One sending of a part to a shard server. */
public final class Dispatch {
    final OpenPart part;
    final int number;
    final double sentAt;
    final double patienceEndsAt;
    boolean out = true;
    boolean patienceOver;
    private final ShardServer server;

    Dispatch(OpenPart part, ShardServer server, double sentAt, double patienceMs) {
        this.part = part;
        this.number = part.dispatches.size();
        this.server = server;
        this.sentAt = sentAt;
        this.patienceEndsAt = sentAt + patienceMs;
    }

    public String partId() {
        return part.id;
    }

    public int segment() {
        return part.segment;
    }

    public ShardServer server() {
        return server;
    }

    public Scan scan() {
        return part.scan.scan;
    }

    /** How long it has been out at a moment, in milliseconds. */
    public double outMs(double nowMs) {
        return nowMs - sentAt;
    }

    /** How long its answer is waited for. */
    public double patienceMs() {
        return patienceEndsAt - sentAt;
    }
}
