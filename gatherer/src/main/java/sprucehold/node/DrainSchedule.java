package sprucehold.node;

/**
 * When a gatherer that is told to end does what, in milliseconds from then on. New clients are sent
 * elsewhere at once, but those that are connected go on asking, and in a small fleet there may be
 * nobody else to ask.
 *
 * @param serveNormallyMs how long it serves on as before
 * @param rejectAfterMs when nobody should come any more, so that queries of those who do are
 *     rejected
 * @param killAfterMs when the process may be killed
 */
record DrainSchedule(long serveNormallyMs, long rejectAfterMs, double killAfterMs) {
    /**
     * How long after the signal requests may still come, in milliseconds: new connections for 400
     * ms, and some of them slow.
     */
    private static final long LATE_CONNECTION_MS = 700;

    /** How long the signal may take to arrive and an answer to be written out, in milliseconds. */
    private static final double DELIVERY_MARGIN_MS = 300;

    /** Ends at once, for a gatherer that nobody asks any more. */
    static final DrainSchedule IMMEDIATE = new DrainSchedule(1, 1, Double.POSITIVE_INFINITY);

    /**
     * SIGKILL follows no sooner than the longest query timeout, counted as 3 s where it is longer,
     * and 0.7 s.
     */
    static DrainSchedule forLongestDeadline(double longestTimeoutMs) {
        double killMs = Math.min(longestTimeoutMs, 3000) + LATE_CONNECTION_MS;
        return new DrainSchedule(
                (long) Math.max(400, killMs - 550),
                (long) Math.max(LATE_CONNECTION_MS, killMs - 400),
                killMs);
    }

    /** The most time that a query may get that is received so long after the signal. */
    double timeLeftMs(double passedMs) {
        return Math.max(0, killAfterMs - DELIVERY_MARGIN_MS - passedMs);
    }
}
