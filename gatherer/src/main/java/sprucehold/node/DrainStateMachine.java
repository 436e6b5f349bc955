package sprucehold.node;

/**
 * How a gatherer that is told to end goes on, as a state machine: it serves as before, then sends
 * away whom it answers, then turns away whoever still comes, and is over once nothing is owed to
 * anybody. Pure: told the time and what is owed.
 */
final class DrainStateMachine {
    /** What is done in each phase, and so in every later one. */
    enum Phase {
        /** New clients find it not ready; all that comes is served. */
        SERVING,
        /** Answers ask to go elsewhere, and connections that rest are closed. */
        REDIRECTING,
        /** Scans that still come are throttled at once. */
        REJECTING,
        /** Nothing is owed: the listener and all connections may be closed. */
        COMPLETE
    }

    /**
     * What clients are still owed.
     *
     * @param queries that have no final answer
     * @param answers that aren't written out
     * @param arriving connections on which a request has begun to come in, or that have only just
     *     been opened
     */
    record Outstanding(int queries, int answers, int arriving) {}

    /**
     * How often it is looked whether something is owed: less than a scan's share of time is lost by
     * it.
     */
    private static final long CHECK_INTERVAL_MS = 10;

    /**
     * How long a request that comes in slowly is waited for at the end; a sound one is whole within
     * a few ms.
     */
    private static final long SLOW_REQUEST_MS = 100;

    private final DrainSchedule schedule;
    private final double startedAtMs;

    DrainStateMachine(DrainSchedule schedule, double beganAt) {
        this.schedule = schedule;
        this.startedAtMs = beganAt;
    }

    Phase phase(double nowMs, Outstanding owed) {
        double passed = nowMs - startedAtMs;
        if (passed < schedule.serveNormallyMs()) {
            return Phase.SERVING;
        } else if (passed < schedule.rejectAfterMs()) {
            return Phase.REDIRECTING;
        }
        boolean arriving = owed.arriving > 0 && passed < schedule.rejectAfterMs() + SLOW_REQUEST_MS;
        return owed.queries > 0 || owed.answers > 0 || arriving ? Phase.REJECTING : Phase.COMPLETE;
    }

    /** When to ask for the phase again, in milliseconds from now; at least 1. */
    long nextCheckMs(double nowMs) {
        double passed = nowMs - startedAtMs;
        double next =
                passed < schedule.serveNormallyMs()
                        ? schedule.serveNormallyMs()
                        : passed < schedule.rejectAfterMs()
                                ? schedule.rejectAfterMs()
                                : passed + CHECK_INTERVAL_MS;
        return Math.max(1, (long) Math.ceil(next - passed));
    }

    /**
     * The most time that a scan taken now may get: its answer has to be out before the process may
     * be killed.
     */
    double timeLeftMs(double nowMs) {
        return schedule.timeLeftMs(nowMs - startedAtMs);
    }
}
