package sprucehold.node;

/**
 * State machine of the drain of a gatherer that shuts down. The gatherer serves as before, then
 * redirects the clients that it answers, then rejects new queries. The drain is complete once no
 * client waits for an answer. The class has no clock and no I/O; callers pass the time in
 * milliseconds and the outstanding work.
 */
final class DrainStateMachine {
    /**
     * Phase of the drain. What begins in a phase continues in all later ones, except that new
     * queries are served only before {@link #REJECTING}.
     */
    enum Phase {
        /**
         * The gatherer reports that it isn't ready, so new clients avoid it; all queries are
         * served.
         */
        SERVING,
        /** Answers ask clients to use another gatherer, and idle connections are closed. */
        REDIRECTING,
        /** New queries are rejected at once. */
        REJECTING,
        /** No client waits for an answer: the listener and all connections may be closed. */
        COMPLETE
    }

    /**
     * Outstanding work for clients.
     *
     * @param queries the number of queries without a final answer
     * @param answers the number of answers that aren't completely written
     * @param arriving the number of connections on which a request has been received in part, or
     *     that have only just been opened
     */
    record Outstanding(int queries, int answers, int arriving) {}

    /**
     * Interval between checks for outstanding work, in milliseconds; small compared to a query's
     * deadline.
     */
    private static final long CHECK_INTERVAL_MS = 10;

    /**
     * How long the drain waits at its end for a request that arrives slowly, in milliseconds. A
     * typical request is read within a few milliseconds.
     */
    private static final long SLOW_REQUEST_MS = 100;

    private final DrainSchedule schedule;
    private final double startedAtMs;

    /** Begins the drain at {@code startedAtMs}. */
    DrainStateMachine(DrainSchedule schedule, double startedAtMs) {
        this.schedule = schedule;
        this.startedAtMs = startedAtMs;
    }

    /** Returns the phase at a time, for the work that is outstanding then. */
    Phase phase(double nowMs, Outstanding outstanding) {
        double elapsedMs = nowMs - startedAtMs;
        if (elapsedMs < schedule.serveNormallyMs()) {
            return Phase.SERVING;
        } else if (elapsedMs < schedule.rejectAfterMs()) {
            return Phase.REDIRECTING;
        }
        boolean arriving =
                outstanding.arriving > 0 && elapsedMs < schedule.rejectAfterMs() + SLOW_REQUEST_MS;
        return outstanding.queries > 0 || outstanding.answers > 0 || arriving
                ? Phase.REJECTING
                : Phase.COMPLETE;
    }

    /**
     * Returns the delay until the phase has to be determined again, in milliseconds; at least 1.
     */
    long nextCheckMs(double nowMs) {
        double elapsedMs = nowMs - startedAtMs;
        double nextMs =
                elapsedMs < schedule.serveNormallyMs()
                        ? schedule.serveNormallyMs()
                        : elapsedMs < schedule.rejectAfterMs()
                                ? schedule.rejectAfterMs()
                                : elapsedMs + CHECK_INTERVAL_MS;
        return Math.max(1, (long) Math.ceil(nextMs - elapsedMs));
    }

    /**
     * Returns the maximum time left for a query that is received now, in milliseconds. Its answer
     * has to be written before the process may be killed.
     */
    double timeLeftMs(double nowMs) {
        return schedule.timeLeftMs(nowMs - startedAtMs);
    }
}
