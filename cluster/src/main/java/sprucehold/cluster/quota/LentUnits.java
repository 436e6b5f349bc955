package sprucehold.cluster.quota;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.ObjDoubleConsumer;

/** A lender's own units that are lent, by the number of each lease. */
final class LentUnits {
    /** Until when by the lender's least possible time the units can't be used by it. */
    private record Loan(String borrower, int units, double outUntilMs) {}

    private final Map<Long, Loan> loans = new LinkedHashMap<>();
    private long numbers;

    /** Notes units as lent, and returns the number of the lease. */
    long add(String borrower, int units, double outUntilMs) {
        long number = numbers++;
        loans.put(number, new Loan(borrower, units, outUntilMs));
        return number;
    }

    /** Forgets leases whose time is over. */
    void expire(double nowMs) {
        loans.values().removeIf(loan -> loan.outUntilMs <= nowMs);
    }

    /** Units that are out. */
    int units() {
        return loans.values().stream().mapToInt(Loan::units).sum();
    }

    /** Whether the lease of that number is out to that borrower. */
    boolean isOut(long number, String borrower) {
        Loan loan = loans.get(number);
        return loan != null && loan.borrower.equals(borrower);
    }

    /** Has a lease that is out last until then. */
    void extend(long number, double outUntilMs) {
        loans.computeIfPresent(
                number, (same, loan) -> new Loan(loan.borrower, loan.units, outUntilMs));
    }

    void remove(long number) {
        loans.remove(number);
    }

    /** Hands out the units of each lease and until when they are out. */
    void forEach(ObjDoubleConsumer<Integer> consumer) {
        loans.values().forEach(loan -> consumer.accept(loan.units, loan.outUntilMs));
    }
}
