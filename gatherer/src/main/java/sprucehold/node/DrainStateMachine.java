package sprucehold.node;

/**
 * The drain of a gatherer that is told to end, as a state machine: it serves as before, then
 * redirects the clients that it answers, then rejects new queries, and is complete once nothing is
 * owed to any client. Pure: the time in milliseconds and what is owed are handed in.
 */
final class DrainStateMachine {
    /** What is done in each phase, and so in every later one. */
    enum Phase {
        /** New clients find it not ready; all queries are served. */
        SERVING,
        /** Answers ask clients to go elsewhere, and idle connections are closed. */
        REDIRECTING,
        /** Queries that still come are rejected at once. */
        REJECTING,
        /** Nothing is owed: the listener and all connections may be closed. */
        COMPLETE
    }

    /**
     * What clients are still owed.
     *
     * @param queries how many have no final answer
     * @param answers how many aren't written out
     * @param arriving how many connections there are on which a request has begun to come in, or
     *     that have only just been opened
     */
    record Outstanding(int queries, int answers, int arriving) {}

    /**
     * How often it is checked whether something is owed, in milliseconds; small beside a query's
     * deadline.
     */
    private static final long CHECK_INTERVAL_MS = 10;

    /**
     * How long a request that comes in slowly is waited for at the end, in milliseconds; a usual
     * one is read within a few.
     */
    private static final long SLOW_REQUEST_MS = 100;

    private final DrainSchedule schedule;
    private final double startedAtMs;

    /** Begins the drain at {@code startedAtMs}. */
    DrainStateMachine(DrainSchedule schedule, double startedAtMs) {
        this.schedule = schedule;
        this.startedAtMs = startedAtMs;
    }

    /** The phase at a time, with what is owed then. */
    Phase phase(double nowMs, Outstanding owed) {
        double passedMs = nowMs - startedAtMs;
        if (passedMs < schedule.serveNormallyMs()) {
            return Phase.SERVING;
        } else if (passedMs < schedule.rejectAfterMs()) {
            return Phase.REDIRECTING;
        }
        boolean arriving =
                owed.arriving > 0 && passedMs < schedule.rejectAfterMs() + SLOW_REQUEST_MS;
        return owed.queries > 0 || owed.answers > 0 || arriving ? Phase.REJECTING : Phase.COMPLETE;
    }

    /** When to ask for the phase again, in milliseconds from now; at least 1. */
    long nextCheckMs(double nowMs) {
        double passedMs = nowMs - startedAtMs;
        double nextMs =
                passedMs < schedule.serveNormallyMs()
                        ? schedule.serveNormallyMs()
                        : passedMs < schedule.rejectAfterMs()
                                ? schedule.rejectAfterMs()
                                : passedMs + CHECK_INTERVAL_MS;
        return Math.max(1, (long) Math.ceil(nextMs - passedMs));
    }

    /**
     * The most time that a query received now may get: its answer has to be out before the process
     * may be killed.
     */
    double timeLeftMs(double nowMs) {
        return schedule.timeLeftMs(nowMs - startedAtMs);
    }
}
