package sprucehold.cluster.quota;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.ObjDoubleConsumer;

/** A lender's own units that are lent, by the number of the lease. */
final class LentUnits {
    /**
     * A lent lease. The lender can't use its units until {@code lentUntilMs}, by the lender's lower
     * bound of elapsed time.
     */
    private record LentLease(String borrower, int units, double lentUntilMs) {}

    private final Map<Long, LentLease> leases = new LinkedHashMap<>();
    private long nextNumber;

    /** Records units as lent and returns the number of the lease. */
    long add(String borrower, int units, double lentUntilMs) {
        long number = nextNumber++;
        leases.put(number, new LentLease(borrower, units, lentUntilMs));
        return number;
    }

    /** Removes expired leases. */
    void expire(double nowMs) {
        leases.values().removeIf(lease -> lease.lentUntilMs <= nowMs);
    }

    /** Returns the number of units lent. */
    int units() {
        return leases.values().stream().mapToInt(LentLease::units).sum();
    }

    /** Whether the lease with that number is lent to that borrower. */
    boolean isLentTo(long number, String borrower) {
        LentLease lease = leases.get(number);
        return lease != null && lease.borrower.equals(borrower);
    }

    /** Extends a lent lease to {@code lentUntilMs}. */
    void extend(long number, double lentUntilMs) {
        leases.computeIfPresent(
                number, (same, lease) -> new LentLease(lease.borrower, lease.units, lentUntilMs));
    }

    void remove(long number) {
        leases.remove(number);
    }

    /** Passes the units of each lease and the end of its time to {@code consumer}. */
    void forEach(ObjDoubleConsumer<Integer> consumer) {
        leases.values().forEach(lease -> consumer.accept(lease.units, lease.lentUntilMs));
    }
}
