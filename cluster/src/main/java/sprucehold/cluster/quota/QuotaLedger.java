package sprucehold.cluster.quota;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.Iterator;
import java.util.List;

/**
 * One gatherer's units of one shared limit, which are lent by leases that expire (Gray and Cheriton
 * 1989). The ledger counts the gatherer's own units, those of them that are lent, those it has
 * borrowed, and the uses of either.
 *
 * <p>At any moment, at most one gatherer may use a unit, and none until the window of the unit's
 * last use is over. Therefore no window contains more uses than the sum of all own units, even if
 * messages are lost, repeated or delayed, or processes die, pause or return. docs/together.md
 * contains the proof.
 *
 * <p>The uses and leases of an earlier epoch are not known. At the start of an epoch, the ledger
 * therefore assumes that all reserved units have just been used and that all other own units have
 * just been lent. If the limit is opened later in the epoch, the assumed uses and leases still date
 * from the start of the epoch, so that they expire the earlier after the limit is opened.
 *
 * <p>A lender measures the term of a lease by the lower bound of elapsed time, a borrower by the
 * upper bound, so that the borrower stops using the units before the lender uses them again; see
 * {@link MonotonicLeaseClock}.
 */
public final class QuotaLedger {
    /** Stands for the borrower of units that an earlier epoch may have lent. */
    private static final String UNKNOWN_BORROWER = "";

    private final String name;
    private final long epoch;
    private final QuotaTerms terms;
    private final MonotonicLeaseClock clock;
    private final UsageWindow ownUsages = new UsageWindow();
    private final LentUnits lent = new LentUnits();
    private final List<BorrowedLease> borrowed = new ArrayList<>();

    /**
     * @param name name of the gatherer
     * @param epoch differs from that of each earlier process under this name
     * @param clock must be read before each call
     */
    public QuotaLedger(String name, long epoch, QuotaTerms terms, MonotonicLeaseClock clock) {
        this(name, epoch, terms, clock, 0);
    }

    /**
     * @param epochAgeMs minimum time that this epoch has lasted without a ledger of this limit, in
     *     milliseconds
     */
    public QuotaLedger(
            String name,
            long epoch,
            QuotaTerms terms,
            MonotonicLeaseClock clock,
            double epochAgeMs) {
        this.name = name;
        this.epoch = epoch;
        this.terms = terms;
        this.clock = clock;
        double beganMs = clock.atLeastMs() - epochAgeMs;
        if (terms.reservedUnits() > 0) {
            ownUsages.add(beganMs + terms.usageCountsMs(), terms.reservedUnits());
        }
        int lendable = terms.ownUnits() - terms.reservedUnits();
        if (lendable > 0) {
            lent.add(
                    UNKNOWN_BORROWER,
                    lendable,
                    beganMs + terms.lenderTermMs() + terms.usageCountsMs());
        }
    }

    /** Removes uses that no longer count and leases that have expired. */
    private void expire() {
        double atLeastMs = clock.atLeastMs();
        ownUsages.expire(atLeastMs);
        lent.expire(atLeastMs);
        borrowed.removeIf(held -> held.usableUntilMs() <= clock.atMostMs());
        borrowed.forEach(held -> held.usages.expire(atLeastMs));
    }

    private int freeOwn() {
        return terms.ownUnits() - ownUsages.units() - lent.units();
    }

    /** Returns the name of the gatherer that owns this ledger. */
    public String name() {
        return name;
    }

    /** Returns the units that may be used now. */
    public int free() {
        expire();
        return freeOwn() + borrowed.stream().mapToInt(BorrowedLease::free).sum();
    }

    /** Returns the own units that are lent, including those that an earlier epoch may have lent. */
    public int lent() {
        expire();
        return lent.units();
    }

    /** Returns the units borrowed, used or not. */
    public int borrowed() {
        expire();
        return borrowed.stream().mapToInt(held -> held.lease.units()).sum();
    }

    /** Returns the used units that count now: own units and those still borrowed. */
    public int used() {
        expire();
        return ownUsages.units() + borrowed.stream().mapToInt(held -> held.usages.units()).sum();
    }

    /**
     * Uses {@code units} at once. Takes borrowed units first, since they expire anyway, and of
     * these the ones that expire soonest.
     *
     * @return null, with no unit used, if fewer are free
     */
    public Permit consume(int units) {
        if (units > free()) {
            return null;
        }
        int left = units;
        double countsUntilMs = clock.atLeastMs() + terms.usageCountsMs();
        double notAfterMs = clock.atMostMs() + terms.permitMs();
        borrowed.sort(Comparator.comparingDouble(BorrowedLease::usableUntilMs));
        for (BorrowedLease held : borrowed) {
            int taken = Math.min(left, held.free());
            if (taken > 0) {
                held.usages.add(countsUntilMs, taken);
                notAfterMs = Math.min(notAfterMs, held.usableUntilMs());
                left -= taken;
            }
        }
        if (left > 0) {
            ownUsages.add(countsUntilMs, left);
        }
        return new Permit(notAfterMs);
    }

    /**
     * Lends own units that are not in use.
     *
     * @param to the borrower
     * @param reserve units to keep in addition to those that are never lent
     * @return the lease, or null if nothing can be lent
     */
    public Lease lend(String to, int wanted, int reserve) {
        expire();
        int lendable = terms.ownUnits() - terms.reservedUnits() - lent.units();
        int units = Math.min(wanted, Math.min(lendable, freeOwn() - reserve));
        if (units <= 0) {
            return null;
        }
        return new Lease(name, epoch, lent.add(to, units, lentUntilMs()), units);
    }

    /**
     * Returns the time from which this gatherer may again use the units of a lease that it grants
     * or renews now.
     */
    private double lentUntilMs() {
        return clock.atLeastMs() + terms.lenderTermMs() + terms.usageCountsMs();
    }

    private boolean isLentTo(Lease lease, String borrower) {
        return lease.lender().equals(name)
                && lease.epoch() == epoch
                && lent.isLentTo(lease.number(), borrower);
    }

    /**
     * Takes back a lease that its borrower returned; no use of it counts any more. A repeated
     * message, an unknown lease or a lease of another borrower has no effect.
     */
    public void acceptReturn(String from, Lease lease) {
        if (isLentTo(lease, from)) {
            lent.remove(lease.number());
        }
    }

    /**
     * Extends a lent lease to a term from now.
     *
     * @return false if the lease is no longer lent to that borrower
     */
    public boolean renew(String to, Lease lease) {
        expire();
        if (!isLentTo(lease, to)) {
            return false;
        }
        lent.extend(lease.number(), lentUntilMs());
        return true;
    }

    /**
     * Extends a borrowed lease. A lease that is no longer held is not restored.
     *
     * @param requestedAtMs upper bound of the time at which the renewal was requested
     */
    public void extend(Lease lease, double requestedAtMs) {
        expire();
        borrowed.stream()
                .filter(held -> held.lease.equals(lease))
                .forEach(held -> held.extend(requestedAtMs + terms.borrowerTermMs()));
    }

    /** Returns the borrowed leases that expire in less than {@code ms} milliseconds. */
    public List<Lease> expiringWithin(double ms) {
        expire();
        return borrowed.stream()
                .filter(held -> held.usableUntilMs() - clock.atMostMs() < ms)
                .map(held -> held.lease)
                .toList();
    }

    /**
     * Accepts a lease that this gatherer requested.
     *
     * @param requestedAtMs upper bound of the time of the request; the lease was granted later
     * @return false if the lease has expired already or has no units
     */
    public boolean accept(Lease lease, double requestedAtMs) {
        double untilMs = requestedAtMs + terms.borrowerTermMs();
        if (untilMs <= clock.atMostMs() || lease.units() <= 0) {
            return false;
        }
        borrowed.add(new BorrowedLease(lease, untilMs));
        return true;
    }

    /**
     * Gives up leases of which no use counts any more, with at most {@code maxUnits} units
     * together. Their lenders may use the units as soon as they receive the returned leases.
     */
    public List<Lease> releaseUnused(int maxUnits) {
        expire();
        var released = new ArrayList<Lease>();
        int left = maxUnits;
        for (Iterator<BorrowedLease> all = borrowed.iterator(); all.hasNext(); ) {
            BorrowedLease held = all.next();
            if (held.usages.isEmpty() && held.lease.units() <= left) {
                left -= held.lease.units();
                released.add(held.lease);
                all.remove();
            }
        }
        return released;
    }

    /** Returns the used, lent and borrowed units, each with its remaining time in milliseconds. */
    @Override
    public String toString() {
        expire();
        var text = new StringBuilder(name).append(" uses");
        ownUsages.forEach(
                (units, untilMs) -> append(text, " ", units, untilMs - clock.atLeastMs()));
        text.append(" lends");
        lent.forEach((units, untilMs) -> append(text, " ", units, untilMs - clock.atLeastMs()));
        text.append(" holds");
        for (BorrowedLease held : borrowed) {
            append(text, " ", held.lease.units(), held.usableUntilMs() - clock.atMostMs());
            held.usages.forEach(
                    (units, untilMs) -> append(text, " used ", units, untilMs - clock.atLeastMs()));
        }
        return text.toString();
    }

    private static void append(StringBuilder text, String separator, int units, double leftMs) {
        text.append(separator).append(units).append('<').append(Math.round(leftMs));
    }
}
