package sprucehold.cluster.quota;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * One gatherer's units of one bound of the fleet: its home, what of it is lent, what it has
 * borrowed, and what was used of either. Each unit is at any moment usable by one gatherer at the
 * most, and by nobody until the window of its last use is over; so whatever messages are lost,
 * doubled or late, and whoever dies, pauses or comes back, no span of a window sees more uses than
 * the sum of all homes. The proof stands in docs/together.md.
 *
 * <p>A life begins as if all had been used and lent the moment before: what an earlier one did is
 * not known. A ledger that a life opens later, for a bound that has come up since, is free of that
 * as far as what an earlier life can have done has lapsed.
 */
public final class QuotaLedger {
    /** Units used at one moment. */
    private record Used(double countsUntil, int units) {}

    /** A loan out: until when by the slow clock its units can't be used here. */
    private record Lent(String to, int units, double outUntil) {}

    /**
     * A loan held: until when by the fast clock its units may be used, and what was used of them.
     */
    private static final class Borrowed {
        final Lease lease;
        double usableUntil;
        final Deque<Used> used = new ArrayDeque<>();

        Borrowed(Lease lease, double usableUntil) {
            this.lease = lease;
            this.usableUntil = usableUntil;
        }
    }

    private final String name;
    private final long epoch;
    private final QuotaTerms terms;
    private final MonotonicLeaseClock clock;
    private final Deque<Used> used = new ArrayDeque<>();
    private final Map<Long, Lent> lent = new LinkedHashMap<>();
    private final List<Borrowed> borrowed = new ArrayList<>();
    private long loans;

    /**
     * @param epoch differs from that of each earlier life under this name
     * @param clock read before each call
     */
    public QuotaLedger(String name, long epoch, QuotaTerms terms, MonotonicLeaseClock clock) {
        this(name, epoch, terms, clock, 0);
    }

    /**
     * @param lifeMs for how long this life has lasted by its slow clock, with no ledger of this
     *     bound before
     */
    public QuotaLedger(
            String name, long epoch, QuotaTerms terms, MonotonicLeaseClock clock, double lifeMs) {
        this.name = name;
        this.epoch = epoch;
        this.terms = terms;
        this.clock = clock;
        double began = clock.slowMs() - lifeMs;
        if (terms.kept() > 0) {
            used.add(new Used(began + terms.countedMs(), terms.kept()));
        }
        if (terms.home() > terms.kept()) {
            lent.put(
                    loans++,
                    new Lent(
                            "",
                            terms.home() - terms.kept(),
                            began + terms.lentMs() + terms.countedMs()));
        }
    }

    private void forgetThePast() {
        double slow = clock.slowMs();
        forget(used, slow);
        lent.values().removeIf(loan -> loan.outUntil <= slow);
        borrowed.removeIf(held -> held.usableUntil <= clock.fastMs());
        borrowed.forEach(held -> forget(held.used, slow));
    }

    private static void forget(Deque<Used> used, double slow) {
        while (!used.isEmpty() && used.peek().countsUntil <= slow) {
            used.poll();
        }
    }

    private static int units(Deque<Used> used) {
        return used.stream().mapToInt(Used::units).sum();
    }

    private int freeHome() {
        return terms.home() - units(used) - lentUnits();
    }

    private int lentUnits() {
        return lent.values().stream().mapToInt(loan -> loan.units).sum();
    }

    private static int free(Borrowed held) {
        return held.lease.units() - units(held.used);
    }

    /** Whose it is. */
    public String name() {
        return name;
    }

    /** Units that may be used now. */
    public int free() {
        forgetThePast();
        return freeHome() + borrowed.stream().mapToInt(QuotaLedger::free).sum();
    }

    /** Units of the home that are lent, or that an earlier life may have lent. */
    public int lent() {
        forgetThePast();
        return lentUnits();
    }

    /** Units borrowed, used or not. */
    public int borrowed() {
        forgetThePast();
        return borrowed.stream().mapToInt(held -> held.lease.units()).sum();
    }

    /** Units used that count now, of the home and of what is still borrowed. */
    public int used() {
        forgetThePast();
        return units(used) + borrowed.stream().mapToInt(held -> units(held.used)).sum();
    }

    /**
     * Uses so many units at once, borrowed ones first, which end by themselves, and of these those
     * that end soonest.
     *
     * @return null, with nothing used, if fewer are free
     */
    public Permit use(int units) {
        if (units > free()) {
            return null;
        }
        int left = units;
        double notAfter = clock.fastMs() + terms.sendableMs();
        borrowed.sort(Comparator.comparingDouble(held -> held.usableUntil));
        for (Borrowed held : borrowed) {
            int take = Math.min(left, free(held));
            if (take > 0) {
                held.used.add(new Used(clock.slowMs() + terms.countedMs(), take));
                notAfter = Math.min(notAfter, held.usableUntil);
                left -= take;
            }
        }
        if (left > 0) {
            used.add(new Used(clock.slowMs() + terms.countedMs(), left));
        }
        return new Permit(notAfter);
    }

    /**
     * Lends units of the home that nobody uses.
     *
     * @param to who asked
     * @param reserve units that stay here beside those never lent
     * @return the loan, or null if nothing can be lent
     */
    public Lease lend(String to, int wanted, int reserve) {
        forgetThePast();
        int most = Math.min(terms.home() - terms.kept() - lentUnits(), freeHome() - reserve);
        int units = Math.min(wanted, most);
        if (units <= 0) {
            return null;
        }
        var lease = new Lease(name, epoch, loans++, units);
        lent.put(
                lease.number(),
                new Lent(to, units, clock.slowMs() + terms.lentMs() + terms.countedMs()));
        return lease;
    }

    /**
     * A borrower has given a loan back, of which no use counts any more; doubled, unknown or
     * another's news changes nothing.
     */
    public void returned(String from, Lease lease) {
        Lent out = lent.get(lease.number());
        if (out != null
                && out.to.equals(from)
                && lease.lender().equals(name)
                && lease.epoch() == epoch) {
            lent.remove(lease.number());
        }
    }

    /**
     * Has a loan that is out last a term from now.
     *
     * @return false if it isn't out to that borrower any more
     */
    public boolean renew(String to, Lease lease) {
        forgetThePast();
        Lent out = lent.get(lease.number());
        if (out == null
                || !out.to.equals(to)
                || !lease.lender().equals(name)
                || lease.epoch() != epoch) {
            return false;
        }
        lent.put(
                lease.number(),
                new Lent(to, out.units, clock.slowMs() + terms.lentMs() + terms.countedMs()));
        return true;
    }

    /**
     * A loan that is held lasts longer, from when that was asked; one that is held no more is not
     * taken up again.
     */
    public void renewed(Lease lease, double askedAtFast) {
        forgetThePast();
        borrowed.stream()
                .filter(held -> held.lease.equals(lease))
                .forEach(
                        held ->
                                held.usableUntil =
                                        Math.max(
                                                held.usableUntil,
                                                askedAtFast + terms.borrowedMs()));
    }

    /** Loans held that are over in less than so many milliseconds. */
    public List<Lease> endingWithin(double ms) {
        forgetThePast();
        return borrowed.stream()
                .filter(held -> held.usableUntil - clock.fastMs() < ms)
                .map(held -> held.lease)
                .toList();
    }

    /**
     * Takes a loan that was asked for.
     *
     * @param askedAtFast the fast clock when it was asked for; it was granted later
     * @return false if its time is over already, or it holds nothing
     */
    public boolean take(Lease lease, double askedAtFast) {
        double until = askedAtFast + terms.borrowedMs();
        if (until <= clock.fastMs() || lease.units() <= 0) {
            return false;
        }
        borrowed.add(new Borrowed(lease, until));
        return true;
    }

    /**
     * Gives up loans of which no use counts any more, up to so many units; they can be told to
     * their lenders, who may use the units at once.
     */
    public List<Lease> giveBack(int most) {
        forgetThePast();
        var back = new ArrayList<Lease>();
        int left = most;
        for (Iterator<Borrowed> all = borrowed.iterator(); all.hasNext(); ) {
            Borrowed held = all.next();
            if (held.used.isEmpty() && held.lease.units() <= left) {
                left -= held.lease.units();
                back.add(held.lease);
                all.remove();
            }
        }
        return back;
    }

    /** What is held, lent and used, with what is left of each time in milliseconds. */
    @Override
    public String toString() {
        forgetThePast();
        var text = new StringBuilder(name).append(" uses");
        used.forEach(
                one ->
                        text.append(' ')
                                .append(one.units)
                                .append('<')
                                .append(left(one.countsUntil - clock.slowMs())));
        text.append(" lends");
        lent.values()
                .forEach(
                        one ->
                                text.append(' ')
                                        .append(one.units)
                                        .append('<')
                                        .append(left(one.outUntil - clock.slowMs())));
        text.append(" holds");
        borrowed.forEach(
                held -> {
                    text.append(' ')
                            .append(held.lease.units())
                            .append('<')
                            .append(left(held.usableUntil - clock.fastMs()));
                    held.used.forEach(
                            one ->
                                    text.append(" used ")
                                            .append(one.units)
                                            .append('<')
                                            .append(left(one.countsUntil - clock.slowMs())));
                });
        return text.toString();
    }

    private static long left(double ms) {
        return Math.round(ms);
    }
}
