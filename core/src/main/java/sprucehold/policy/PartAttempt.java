package sprucehold.policy;

/** One sending of a part to a shard server. */
final class PartAttempt {
    private final ScheduledPart part;
    private final int number;
    private final ShardServerState server;
    private final double sentAtMs;
    private boolean pending = true;
    private boolean late;
    private boolean cancelled;

    PartAttempt(ScheduledPart part, ShardServerState server, double sentAtMs) {
        this.part = part;
        this.number = part.attempts().size();
        this.server = server;
        this.sentAtMs = sentAtMs;
    }

    void begin() {
        part.attempts().add(this);
        server.pendingAttempts().add(this);
    }

    void end() {
        pending = false;
        server.pendingAttempts().remove(this);
    }

    void markLate() {
        late = true;
    }

    void markCancelled() {
        cancelled = true;
    }

    ScheduledPart part() {
        return part;
    }

    /** Counts the attempts of its part from 0. */
    int number() {
        return number;
    }

    ShardServerState server() {
        return server;
    }

    double sentAtMs() {
        return sentAtMs;
    }

    boolean isPending() {
        return pending;
    }

    /** Whether it was pending for longer than usual, see {@link LateDetector}. */
    boolean isLate() {
        return late;
    }

    /** Whether its cancellation was asked for. */
    boolean isCancelled() {
        return cancelled;
    }
}
