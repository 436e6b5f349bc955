package sprucehold.cluster.quota;

/**
 * What a gatherer's share of one bound of the fleet is, and how it may be lent. The same at all
 * gatherers, but for {@code home}; the sum of all homes is the bound.
 *
 * @param home units that are this gatherer's own, whole and not negative
 * @param kept of them, so many are never lent: what it may use at once after a restart, and while
 *     it hears nothing
 * @param windowMs the bound holds in any span of so many milliseconds
 * @param patienceMs how long after it is counted a use may still be sent: beyond, as after a pause,
 *     it is dropped
 * @param termMs how long a loan lasts at the most, in milliseconds
 * @param drift how far any clock's rate may be off from true time, as a share of it: 0.002 for
 *     2,000 ppm
 */
public record QuotaTerms(
        int home, int kept, double windowMs, double patienceMs, double termMs, double drift) {
    /**
     * @throws IllegalArgumentException if a figure is outside its range, with its name
     */
    public QuotaTerms {
        if (home < 0 || kept < 0 || kept > home) {
            throw new IllegalArgumentException(
                    "home and kept: 0 <= kept <= home was expected, not " + kept + " of " + home);
        }
        if (!(windowMs > 0) || !(patienceMs > 0)) {
            throw new IllegalArgumentException(
                    "windowMs and patienceMs: positive was expected, not "
                            + windowMs
                            + " and "
                            + patienceMs);
        }
        if (!(termMs >= 2 * MonotonicLeaseClock.UNSEEN_MS)) {
            throw new IllegalArgumentException(
                    "termMs: at least "
                            + 2 * MonotonicLeaseClock.UNSEEN_MS
                            + " was expected, not "
                            + termMs);
        }
        if (!(drift >= 0 && drift < 0.5)) {
            throw new IllegalArgumentException(
                    "drift: from 0 to below 0.5 was expected, not " + drift);
        }
    }

    /** How long a borrower may use a loan by its own clock, from the moment at which it asked. */
    double borrowedMs() {
        return termMs * (1 - drift) - MonotonicLeaseClock.UNSEEN_MS;
    }

    /**
     * How long a lender holds a loan to be out by its own clock, from the moment at which it
     * granted.
     */
    double lentMs() {
        return termMs * (1 + drift);
    }

    /**
     * How long a use counts by the user's own clock: it may be sent as late as its patience allows,
     * and a clock that runs fast would forget it before the window of true time is over.
     */
    double countedMs() {
        return (windowMs + patienceMs) * (1 + drift);
    }

    /** How long a use may be sent by the user's own clock. */
    double sendableMs() {
        return patienceMs * (1 - drift);
    }
}
