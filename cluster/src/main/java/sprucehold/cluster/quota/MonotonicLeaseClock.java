package sprucehold.cluster.quota;

/**
 * A gatherer's own time as leases see it, from two clocks of its machine: the monotonic clock and
 * the wall clock. The first decides; the second shows when the first stood still, as some do while
 * their machine sleeps, by running ahead of it. What must not end too soon goes by {@link
 * #atLeastMs}, what must not last too long by {@link #atMostMs}. A wall clock that jumps ahead only
 * ends leases early, one that jumps back does nothing.
 */
public class MonotonicLeaseClock {
    /**
     * The wall clock may run ahead by so much unnoticed: it is read in whole milliseconds, and
     * slewed to the right time.
     */
    static final double WALL_TOLERANCE_MS = 100;

    private double firstCountedMs = Double.NaN;
    private double elapsedMs;

    /** Wall clock less monotonic clock. */
    private double offsetMs;

    private double sleptMs;

    /**
     * Takes both clocks' readings.
     *
     * @param countedMs milliseconds of the monotonic clock
     * @param wallMs Unix time in milliseconds
     */
    public void read(double countedMs, double wallMs) {
        double newOffsetMs = wallMs - countedMs;
        if (Double.isNaN(firstCountedMs)) {
            firstCountedMs = countedMs;
            offsetMs = newOffsetMs;
        }
        elapsedMs = Math.max(elapsedMs, countedMs - firstCountedMs);
        if (newOffsetMs > offsetMs + WALL_TOLERANCE_MS) {
            sleptMs += newOffsetMs - offsetMs;
            offsetMs = newOffsetMs;
        } else {
            offsetMs = Math.min(offsetMs, newOffsetMs);
        }
    }

    /** Milliseconds that have surely passed since the first reading: by it a lender waits. */
    public double atLeastMs() {
        return elapsedMs;
    }

    /**
     * Milliseconds that may have passed since the first reading, but for {@link
     * #WALL_TOLERANCE_MS}: by it a borrower stops.
     */
    public double atMostMs() {
        return elapsedMs + sleptMs;
    }
}
