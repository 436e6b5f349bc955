package sprucehold.picker;

import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.stream.Stream;
import sprucehold.port.Action;
import sprucehold.port.Reason;

/** One sending of a part to a shard server. */
public final class Dispatch {
    final OpenPart part;
    final int number;
    final double sentAt;
    final double patienceEndsAt;
    boolean out = true;
    boolean patienceOver;

    /** It is over and surely never ran. */
    boolean neverRan;

    private final ShardServer server;
    private final List<Action.Use> uses;
    private final Reason reason;
    private BooleanSupplier leave = () -> true;

    /**
     * @param uses what it takes of shared bounds
     * @param reason why the decisions want it
     */
    Dispatch(
            OpenPart part,
            ShardServer server,
            double sentAt,
            double patienceMs,
            List<Action.Use> uses,
            Reason reason) {
        this.uses = uses;
        this.reason = reason;
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

    /** Its place among the attempts of its part, from 0. */
    public int number() {
        return number;
    }

    /** Why the decisions want it. */
    public Reason reason() {
        return reason;
    }

    /** How long it has been out at a moment, in milliseconds. */
    public double outMs(double nowMs) {
        return nowMs - sentAt;
    }

    /** What it takes of bounds that gatherers share. */
    public List<Action.Use> uses() {
        return uses;
    }

    /** Makes its writing depend on something that is asked right before it. */
    public void onlyIf(BooleanSupplier mayBeWritten) {
        leave = mayBeWritten;
    }

    /**
     * Whether it may still be written at this moment. To be asked with nothing between the answer
     * and the write. Guards against a connection that came up late, and a process that stood still
     * after it had decided and goes on as if nothing had been: by then its scan may be over, its
     * own time up, the time within which repeats are dropped past, or its leave withdrawn.
     */
    public boolean mayBeWritten(double nowMs) {
        return out
                && !part.scan.over
                && nowMs < patienceEndsAt
                && mayRunBeside(nowMs)
                && leave.getAsBoolean();
    }

    /**
     * Whether a run of it now does no harm beside the part's other dispatches that have run, or may
     * have, or may yet.
     */
    private boolean mayRunBeside(double nowMs) {
        return switch (part.scan.type.repeat()) {
            case REPLAYABLE -> true;
            case KEYED ->
                    others().allMatch(
                                    other ->
                                            nowMs <= other.sentAt + part.scan.type.keyedWindowMs());
            case NON_REPLAYABLE -> others().findAny().isEmpty();
        };
    }

    private Stream<Dispatch> others() {
        return part.dispatches.stream().filter(other -> other != this && !other.neverRan);
    }

    /**
     * How much of the time that its answer is waited for is left, in milliseconds; 0 or less once
     * it is over.
     */
    public double patienceLeftMs(double nowMs) {
        return patienceEndsAt - nowMs;
    }

    /** How long its answer is waited for. */
    public double patienceMs() {
        return patienceEndsAt - sentAt;
    }
}
