package sprucehold.policy;

/** One attempt of a part at a shard server. */
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

    /** Returns the number of this attempt among the attempts of its part, counted from 0. */
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

    /** Returns whether the attempt was pending for longer than usual, see {@link LateDetector}. */
    boolean isLate() {
        return late;
    }

    /** Returns whether a cancellation of the attempt was requested. */
    boolean isCancelled() {
        return cancelled;
    }
}
