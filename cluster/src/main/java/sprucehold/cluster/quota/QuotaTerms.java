package sprucehold.cluster.quota;

/**
 * One gatherer's part of a shared limit, and the terms for lending it. All values except the units
 * are the same at all gatherers; the sum of all own units is the limit.
 *
 * @param ownUnits units that are this gatherer's own, not negative
 * @param reservedUnits number of own units that are never lent. The gatherer may use them while it
 *     receives no messages. After a restart, it may use them as soon as the uses of the earlier
 *     epoch no longer count, without waiting for the end of leases
 * @param windowMs length of the window in milliseconds; the limit applies to each window of that
 *     length
 * @param sendWithinMs how long after it was counted a use may still be sent, in milliseconds; a
 *     later use, as after a pause, is dropped
 * @param leaseTermMs maximum duration of a lease, in milliseconds
 * @param maxClockDrift maximum deviation of any clock's rate from true time, as a share of it:
 *     0.002 for 2,000 ppm
 */
public record QuotaTerms(
        int ownUnits,
        int reservedUnits,
        double windowMs,
        double sendWithinMs,
        double leaseTermMs,
        double maxClockDrift) {
    /**
     * @throws IllegalArgumentException if a number is out of range; the message states its name
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

    /**
     * Returns how long a borrower may use a lease, in milliseconds of its own clock from the time
     * of its request.
     */
    double borrowerTermMs() {
        return leaseTermMs * (1 - maxClockDrift) - MonotonicLeaseClock.WALL_TOLERANCE_MS;
    }

    /**
     * Returns how long a lender considers a lease to be lent, in milliseconds of its own clock from
     * the time of the grant.
     */
    double lenderTermMs() {
        return leaseTermMs * (1 + maxClockDrift);
    }

    /**
     * Returns how long a use counts, in milliseconds of the clock of the gatherer that made it. A
     * use may be sent {@code sendWithinMs} after it was counted, and a clock that runs fast would
     * expire it before the window of true time is over.
     */
    double usageCountsMs() {
        return (windowMs + sendWithinMs) * (1 + maxClockDrift);
    }

    /**
     * Returns how long after it was counted a use may be sent, in milliseconds of the clock of the
     * gatherer that made it.
     */
    double permitMs() {
        return sendWithinMs * (1 - maxClockDrift);
    }
}
