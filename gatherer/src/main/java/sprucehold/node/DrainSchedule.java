package sprucehold.node;

/**
 * When a gatherer that is told to end does what, in milliseconds from then on. New clients are sent
 * elsewhere at once, but those that are connected go on asking, and in a small fleet there may be
 * nobody else to ask.
 *
 * @param serveMs how long it serves on as before
 * @param closeMs when nobody should come any more, so that who still does is turned away
 * @param killMs when the process may be killed
 */
record DrainSchedule(long serveMs, long closeMs, double killMs) {
    /** New connections may still come for 0.4 s, and be slow by as much again. */
    private static final long COMING_MS = 700;

    /** The signal may be taken up so late, and answers have to be written out. */
    private static final double WAY_MS = 300;

    /** At once, for a gatherer that nobody asks any more. */
    static final DrainSchedule NOW = new DrainSchedule(1, 1, Double.POSITIVE_INFINITY);

    /**
     * SIGKILL follows no sooner than the longest query timeout, counted as 3 s where it is longer,
     * and 0.7 s.
     */
    static DrainSchedule within(double longestTimeoutMs) {
        double killMs = Math.min(longestTimeoutMs, 3000) + COMING_MS;
        return new DrainSchedule(
                (long) Math.max(400, killMs - 550),
                (long) Math.max(COMING_MS, killMs - 400),
                killMs);
    }

    /** The most time that a scan taken after so long may get. */
    double timeLeftMs(double passedMs) {
        return Math.max(0, killMs - WAY_MS - passedMs);
    }
}
