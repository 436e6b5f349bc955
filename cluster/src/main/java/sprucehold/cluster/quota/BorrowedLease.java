package sprucehold.cluster.quota;

/** A lease that is held, and what was used of it. */
final class BorrowedLease {
    final Lease lease;
    final UsageWindow usages = new UsageWindow();

    /** Until when by the borrower's greatest possible time its units may be used. */
    private double usableUntilMs;

    BorrowedLease(Lease lease, double usableUntilMs) {
        this.lease = lease;
        this.usableUntilMs = usableUntilMs;
    }

    double usableUntilMs() {
        return usableUntilMs;
    }

    /** Never shortens it. */
    void extend(double untilMs) {
        usableUntilMs = Math.max(usableUntilMs, untilMs);
    }

    int free() {
        return lease.units() - usages.units();
    }
}
