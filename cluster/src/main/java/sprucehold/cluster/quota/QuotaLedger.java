package sprucehold.cluster.quota;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.Iterator;
import java.util.List;

/**
 * One gatherer's units of one shared limit, lent by time-bound leases (Gray and Cheriton 1989): its
 * own units, what of them is lent, what it has borrowed, and what was used of either. Each unit is
 * at any moment usable by one gatherer at the most, and by nobody until the window of its last use
 * is over; so whatever messages are lost, repeated or late, and whichever process dies, pauses or
 * comes back, no window sees more uses than the sum of all own units. docs/together.md has the
 * proof.
 *
 * <p>An epoch begins as if all units had been used and lent the moment before: what an earlier
 * epoch did is not known. For a limit that comes up later in an epoch, the time since the epoch's
 * begin counts: what an earlier one can have done has lapsed by that much.
 *
 * <p>Two bounds of elapsed time keep lender and borrower apart: a lender waits by the least time
 * that can have passed, a borrower stops by the greatest; see {@link MonotonicLeaseClock}.
 */
public final class QuotaLedger {
    /** Borrower of the units that an earlier epoch may have lent. */
    private static final String UNKNOWN_BORROWER = "";

    private final String name;
    private final long epoch;
    private final QuotaTerms terms;
    private final MonotonicLeaseClock clock;
    private final UsageWindow ownUsages = new UsageWindow();
    private final LentUnits lent = new LentUnits();
    private final List<BorrowedLease> borrowed = new ArrayList<>();

    /**
     * @param name of the gatherer
     * @param epoch differs from that of each earlier process under this name
     * @param clock read before each call
     */
    public QuotaLedger(String name, long epoch, QuotaTerms terms, MonotonicLeaseClock clock) {
        this(name, epoch, terms, clock, 0);
    }

    /**
     * @param epochAgeMs for how long this epoch has lasted at least, with no ledger of this limit
     *     before, in milliseconds
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

    /** Forgets uses that count no more and leases whose time is over. */
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

    /** The gatherer that it belongs to. */
    public String name() {
        return name;
    }

    /** Units that may be used now. */
    public int free() {
        expire();
        return freeOwn() + borrowed.stream().mapToInt(BorrowedLease::free).sum();
    }

    /** Own units that are lent, or that an earlier epoch may have lent. */
    public int lent() {
        expire();
        return lent.units();
    }

    /** Units borrowed, used or not. */
    public int borrowed() {
        expire();
        return borrowed.stream().mapToInt(held -> held.lease.units()).sum();
    }

    /** Units used that count now, own ones and those still borrowed. */
    public int used() {
        expire();
        return ownUsages.units() + borrowed.stream().mapToInt(held -> held.usages.units()).sum();
    }

    /**
     * Uses so many units at once: borrowed ones first, which end by themselves, and of these the
     * ones that end soonest.
     *
     * @return null, with nothing used, if fewer are free
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
     * @param reserve units that stay here beside those never lent
     * @return the lease, or null if nothing can be lent
     */
    public Lease lend(String to, int wanted, int reserve) {
        expire();
        int lendable = terms.ownUnits() - terms.reservedUnits() - lent.units();
        int units = Math.min(wanted, Math.min(lendable, freeOwn() - reserve));
        if (units <= 0) {
            return null;
        }
        return new Lease(name, epoch, lent.add(to, units, outUntilMs()), units);
    }

    /** When the units of a lease that begins now are usable here again. */
    private double outUntilMs() {
        return clock.atLeastMs() + terms.lenderTermMs() + terms.usageCountsMs();
    }

    private boolean isOut(Lease lease, String borrower) {
        return lease.lender().equals(name)
                && lease.epoch() == epoch
                && lent.isOut(lease.number(), borrower);
    }

    /**
     * A borrower has returned a lease, of which no use counts any more; a repeated message, an
     * unknown lease or one of another borrower changes nothing.
     */
    public void acceptReturn(String from, Lease lease) {
        if (isOut(lease, from)) {
            lent.remove(lease.number());
        }
    }

    /**
     * Has a lease that is out last a term from now.
     *
     * @return false if it isn't out to that borrower any more
     */
    public boolean renew(String to, Lease lease) {
        expire();
        if (!isOut(lease, to)) {
            return false;
        }
        lent.extend(lease.number(), outUntilMs());
        return true;
    }

    /**
     * A lease that is held lasts longer; one that is held no more is not taken up again.
     *
     * @param requestedAtMs the greatest possible time at which the renewal was asked for
     */
    public void extend(Lease lease, double requestedAtMs) {
        expire();
        borrowed.stream()
                .filter(held -> held.lease.equals(lease))
                .forEach(held -> held.extend(requestedAtMs + terms.borrowerTermMs()));
    }

    /** Leases held that are over in less than so many milliseconds. */
    public List<Lease> expiringWithin(double ms) {
        expire();
        return borrowed.stream()
                .filter(held -> held.usableUntilMs() - clock.atMostMs() < ms)
                .map(held -> held.lease)
                .toList();
    }

    /**
     * Takes a lease that was asked for.
     *
     * @param requestedAtMs the greatest possible time at which it was asked for; it was granted
     *     later
     * @return false if its time is over already, or it holds nothing
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
     * Gives up leases of which no use counts any more, up to so many units; once their lenders are
     * told, these may use the units at once.
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

    /** What is used, lent and held, with what is left of each time in milliseconds. */
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
