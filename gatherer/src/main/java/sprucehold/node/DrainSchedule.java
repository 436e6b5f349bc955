package sprucehold.node;

/**
 * Schedule of a gatherer's drain, in milliseconds since the shutdown signal. New clients find the
 * gatherer not ready and are routed to other gatherers at once. Connected clients keep sending
 * queries, and in a small deployment there may be no other gatherer that they could use, so the
 * gatherer first serves them as before.
 *
 * @param serveNormallyMs how long queries are served as before
 * @param rejectAfterMs time from which no more queries are expected and new ones are rejected
 * @param killAfterMs time from which the process may be killed
 */
record DrainSchedule(long serveNormallyMs, long rejectAfterMs, double killAfterMs) {
    /**
     * Time after the signal during which requests may still arrive, in milliseconds. New
     * connections are opened for up to 400 ms after the signal, and some of them are slow.
     */
    private static final long LATE_CONNECTION_MS = 700;

    /**
     * Time that the delivery of the signal and the write of an answer may take, in milliseconds.
     */
    private static final double DELIVERY_MARGIN_MS = 300;

    /** Schedule that ends at once, for a gatherer that receives no more queries. */
    static final DrainSchedule IMMEDIATE = new DrainSchedule(1, 1, Double.POSITIVE_INFINITY);

    /**
     * Returns the schedule for a deployment. SIGKILL doesn't follow the shutdown signal before 0.7
     * s plus the longest query timeout have passed. A timeout longer than 3 s counts as 3 s.
     */
    static DrainSchedule forLongestDeadline(double longestTimeoutMs) {
        double killMs = Math.min(longestTimeoutMs, 3000) + LATE_CONNECTION_MS;
        return new DrainSchedule(
                (long) Math.max(400, killMs - 550),
                (long) Math.max(LATE_CONNECTION_MS, killMs - 400),
                killMs);
    }

    /**
     * Returns the maximum time left for a query that is received {@code elapsedMs} after the
     * signal, in milliseconds.
     */
    double timeLeftMs(double elapsedMs) {
        return Math.max(0, killAfterMs - DELIVERY_MARGIN_MS - elapsedMs);
    }
}
