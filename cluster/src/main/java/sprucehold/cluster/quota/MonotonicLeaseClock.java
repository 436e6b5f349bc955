package sprucehold.cluster.quota;

/**
 * Clock for leases of one gatherer, from two clocks of its machine: the monotonic clock and the
 * wall clock. The time is that of the monotonic clock. Some monotonic clocks stand still while the
 * machine sleeps; the wall clock reveals this by running ahead.
 *
 * <p>An interval that must not end too early is measured by {@link #atLeastMs}, one that must not
 * last too long by {@link #atMostMs}. A wall clock that jumps forward only makes leases expire
 * early; one that jumps back has no effect.
 */
public class MonotonicLeaseClock {
    /**
     * Time by which the wall clock may run ahead of the monotonic clock without being counted as
     * sleep, in milliseconds. The wall clock is read in whole milliseconds and may be slewed.
     */
    static final double WALL_TOLERANCE_MS = 100;

    private double firstCountedMs = Double.NaN;
    private double elapsedMs;

    /** Wall clock minus monotonic clock, in milliseconds. */
    private double offsetMs;

    private double sleptMs;

    /**
     * Updates the time from readings of both clocks.
     *
     * @param countedMs reading of the monotonic clock, in milliseconds
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

    /**
     * Returns the lower bound of the time since the first reading, in milliseconds. A lender
     * measures by it how long units are lent, so that it doesn't use them again too early.
     */
    public double atLeastMs() {
        return elapsedMs;
    }

    /**
     * Returns the upper bound of the time since the first reading, in milliseconds. The true time
     * may exceed it by up to {@link #WALL_TOLERANCE_MS}. A borrower measures by it how long it may
     * use a lease, so that it doesn't use the units too late.
     */
    public double atMostMs() {
        return elapsedMs + sleptMs;
    }
}
