package sprucehold.cluster.quota;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.ObjDoubleConsumer;

/** A lender's own units that are lent, by the number of each lease. */
final class LentUnits {
    /** Until when by the lender's least possible time the units can't be used by it. */
    private record LentLease(String borrower, int units, double outUntilMs) {}

    private final Map<Long, LentLease> leases = new LinkedHashMap<>();
    private long numbers;

    /** Notes units as lent, and returns the number of the lease. */
    long add(String borrower, int units, double outUntilMs) {
        long number = numbers++;
        leases.put(number, new LentLease(borrower, units, outUntilMs));
        return number;
    }

    /** Forgets leases whose time is over. */
    void expire(double nowMs) {
        leases.values().removeIf(lease -> lease.outUntilMs <= nowMs);
    }

    /** Units that are out. */
    int units() {
        return leases.values().stream().mapToInt(LentLease::units).sum();
    }

    /** Whether the lease of that number is out to that borrower. */
    boolean isOut(long number, String borrower) {
        LentLease lease = leases.get(number);
        return lease != null && lease.borrower.equals(borrower);
    }

    /** Has a lease that is out last until then. */
    void extend(long number, double outUntilMs) {
        leases.computeIfPresent(
                number, (same, lease) -> new LentLease(lease.borrower, lease.units, outUntilMs));
    }

    void remove(long number) {
        leases.remove(number);
    }

    /** Hands out the units of each lease and until when they are out. */
    void forEach(ObjDoubleConsumer<Integer> consumer) {
        leases.values().forEach(lease -> consumer.accept(lease.units, lease.outUntilMs));
    }
}
