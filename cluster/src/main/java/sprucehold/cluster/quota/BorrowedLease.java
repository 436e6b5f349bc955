package sprucehold.cluster.quota;

/** A borrowed lease with the uses of its units. */
final class BorrowedLease {
    final Lease lease;
    final UsageWindow usages = new UsageWindow();

    /** Time up to which the units may be used, by the borrower's upper bound of elapsed time. */
    private double usableUntilMs;

    BorrowedLease(Lease lease, double usableUntilMs) {
        this.lease = lease;
        this.usableUntilMs = usableUntilMs;
    }

    double usableUntilMs() {
        return usableUntilMs;
    }

    /** Extends the lease to {@code untilMs}; never shortens it. */
    void extend(double untilMs) {
        usableUntilMs = Math.max(usableUntilMs, untilMs);
    }

    int free() {
        return lease.units() - usages.units();
    }
}
