package sprucehold.cluster.quota;

/**
 * A gatherer's own time as loans see it, from two clocks of its machine: one that only counts up,
 * and the wall's. The first decides; the second shows when the first stood still, as some do while
 * their machine sleeps, by running ahead of it. What must not end too soon goes by {@link #slowMs},
 * what must not last too long by {@link #fastMs}. A wall clock that jumps ahead only ends loans
 * early, one that jumps back does nothing.
 */
public class MonotonicLeaseClock {
    /**
     * The wall may be ahead by so much unseen: it is read in whole milliseconds, and drawn slowly
     * to the right time.
     */
    static final double UNSEEN_MS = 100;

    private double first = Double.NaN;
    private double counted;
    private double ahead;
    private double slept;

    /**
     * Takes both clocks' readings.
     *
     * @param countedMs milliseconds of the clock that only counts up
     * @param wallMs Unix time in milliseconds
     */
    public void read(double countedMs, double wallMs) {
        double now = wallMs - countedMs;
        if (Double.isNaN(first)) {
            first = countedMs;
            ahead = now;
        }
        counted = Math.max(counted, countedMs - first);
        if (now > ahead + UNSEEN_MS) {
            slept += now - ahead;
            ahead = now;
        } else {
            ahead = Math.min(ahead, now);
        }
    }

    /** Milliseconds that have surely passed since the first reading: by it a lender waits. */
    public double slowMs() {
        return counted;
    }

    /**
     * Milliseconds that may have passed since the first reading, but for {@link #UNSEEN_MS}: by it
     * a borrower stops.
     */
    public double fastMs() {
        return counted + slept;
    }
}
