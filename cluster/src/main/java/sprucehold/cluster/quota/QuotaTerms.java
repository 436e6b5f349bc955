package sprucehold.cluster.quota;

/**
 * One gatherer's part of a shared limit, and how it may be lent. The same at all gatherers, but for
 * the units; the sum of all own units is the limit.
 *
 * @param ownUnits units that are this gatherer's own, not negative
 * @param reservedUnits of them, so many are never lent: what it may use at once after a restart,
 *     and while it hears nothing
 * @param windowMs the limit holds in any span of so many milliseconds
 * @param sendWithinMs how long after it is counted a use may still be sent, in milliseconds:
 *     beyond, as after a pause, it is dropped
 * @param leaseTermMs how long a lease lasts at the most, in milliseconds
 * @param maxClockDrift how far any clock's rate may be off from true time, as a share of it: 0.002
 *     for 2,000 ppm
 */
public record QuotaTerms(
        int ownUnits,
        int reservedUnits,
        double windowMs,
        double sendWithinMs,
        double leaseTermMs,
        double maxClockDrift) {
    /**
     * @throws IllegalArgumentException if a figure is outside its range, with its name
     */
    public QuotaTerms {
        if (ownUnits < 0 || reservedUnits < 0 || reservedUnits > ownUnits) {
            throw new IllegalArgumentException(
                    "reservedUnits: from 0 to ownUnits was expected, not "
                            + reservedUnits
                            + " of "
                            + ownUnits);
        }
        if (!(windowMs > 0) || !(sendWithinMs > 0)) {
            throw new IllegalArgumentException(
                    "windowMs and sendWithinMs: positive was expected, not "
                            + windowMs
                            + " and "
                            + sendWithinMs);
        }
        if (!(leaseTermMs >= 2 * MonotonicLeaseClock.WALL_TOLERANCE_MS)) {
            throw new IllegalArgumentException(
                    "leaseTermMs: at least "
                            + 2 * MonotonicLeaseClock.WALL_TOLERANCE_MS
                            + " was expected, not "
                            + leaseTermMs);
        }
        if (!(maxClockDrift >= 0 && maxClockDrift < 0.5)) {
            throw new IllegalArgumentException(
                    "maxClockDrift: from 0 to below 0.5 was expected, not " + maxClockDrift);
        }
    }

    /** How long a borrower may use a lease by its own clock, from the moment at which it asked. */
    double borrowerTermMs() {
        return leaseTermMs * (1 - maxClockDrift) - MonotonicLeaseClock.WALL_TOLERANCE_MS;
    }

    /**
     * How long a lender holds a lease to be out by its own clock, from the moment at which it
     * granted.
     */
    double lenderTermMs() {
        return leaseTermMs * (1 + maxClockDrift);
    }

    /**
     * How long a use counts by the user's own clock: it may be sent as late as the terms allow, and
     * a clock that runs fast would forget it before the window of true time is over.
     */
    double usageCountsMs() {
        return (windowMs + sendWithinMs) * (1 + maxClockDrift);
    }

    /** How long a use may be sent by the user's own clock. */
    double permitMs() {
        return sendWithinMs * (1 - maxClockDrift);
    }
}
