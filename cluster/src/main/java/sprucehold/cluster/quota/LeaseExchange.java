package sprucehold.cluster.quota;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.function.Supplier;
import org.apache.commons.codec.digest.MurmurHash3;

/**
 * Moves units of one bound to where they are wanted: who runs short asks a few others, who has some
 * to spare lends them, who needs a loan no more gives it back. It decides only who holds what for
 * how long; that no unit is used twice is {@link QuotaLedger}'s matter and doesn't rest on anything
 * here. Pure: time, messages and chance are handed in.
 */
public final class LeaseExchange {
    /** A message to a gatherer. */
    public record Out(String to, QuotaMessage message) {}

    /**
     * @param renews the loan that is to last longer; null where a new one was asked for
     */
    private record Asked(String of, double atFast, double atSlow, Lease renews) {}

    /** How often it looks; a gatherer that runs short is helped within a few of these. */
    public static final double TICK_MS = 250;

    /**
     * Asks in a tick: a hundred gatherers are gone round in three seconds, at 32 short messages a
     * second.
     */
    public static final int ASKS = 8;

    /** Of what it used in the last window, so much is kept or asked for: use comes unevenly. */
    private static final double SPARE = 1.25;

    /**
     * An ask unanswered after four ticks is lost: ways within an installation take milliseconds.
     */
    private static final double ASK_MS = 4 * TICK_MS;

    private final String bound;
    private final QuotaTerms terms;
    private final QuotaLedger ledger;
    private final MonotonicLeaseClock clock;
    private final long epoch;
    private final Random chance;
    private final Map<Long, Asked> asked = new LinkedHashMap<>();

    /**
     * The last request answered, of each asker's last life known: a doubled ask gets no second
     * loan.
     */
    private final Map<String, QuotaMessage.Ask> answered = new HashMap<>();

    /** Who lent last time it was asked, asked first again. */
    private final Set<String> lenders = new LinkedHashSet<>();

    private final List<String> others = new ArrayList<>();
    private long requests;
    private int refused;
    private int demand;
    private int piece;

    /** Who asked last and got nothing, and when. */
    private String unmet = "";

    private double unmetAt = Double.NEGATIVE_INFINITY;

    /**
     * @param bound its name, the same at all
     * @param others who may be asked, in any order
     */
    public LeaseExchange(
            String bound,
            QuotaTerms terms,
            QuotaLedger ledger,
            MonotonicLeaseClock clock,
            long epoch,
            Collection<String> others,
            Random chance) {
        this.bound = bound;
        this.terms = terms;
        this.ledger = ledger;
        this.clock = clock;
        this.epoch = epoch;
        this.chance = chance;
        heard(others);
    }

    /** Those who can be reached now; who has gone is asked no more. */
    public void heard(Collection<String> alive) {
        others.clear();
        alive.stream().sorted().forEach(others::add);
        lenders.retainAll(alive);
    }

    /** Uses units if they are free, else returns null. A refusal is remembered as demand. */
    public Permit use(int units) {
        Permit permit = ledger.use(units);
        refused += permit == null ? units : 0;
        return permit;
    }

    /**
     * States how many units a window are wanted here, where that is known better than by what was
     * used and refused.
     *
     * @param atOnce the fewest that are of any use, as a part takes so many at once
     */
    public void want(int units, int atOnce) {
        demand = units;
        piece = atOnce;
    }

    /**
     * Units that should be here: what the last window used, what was refused since the last tick,
     * and some to spare.
     */
    private int wanted() {
        return Math.max(demand, (int) Math.ceil(SPARE * (ledger.used() + refused)));
    }

    /** Looks at what is wanted and held; to be called every {@link #TICK_MS}. */
    public List<Out> tick() {
        return tick(this::candidates);
    }

    /**
     * The same, with those whom to ask chosen by the caller: who shares many bounds asks the same
     * few for all.
     */
    public List<Out> tick(Collection<String> whom) {
        return tick(() -> new LinkedHashSet<>(whom));
    }

    private List<Out> tick(Supplier<Set<String>> whom) {
        double slow = clock.slowMs();
        asked.values().removeIf(ask -> slow - ask.atSlow > ASK_MS);
        var out = new ArrayList<Out>();
        int held = terms.home() - ledger.lent() + ledger.borrowed();
        int missing = wanted() - held;
        if (missing > 0 && !others.isEmpty()) {
            ask(missing, whom.get(), out);
        } else if (missing < 0) {
            ledger.giveBack(-missing)
                    .forEach(
                            lease ->
                                    out.add(
                                            new Out(
                                                    lease.lender(),
                                                    new QuotaMessage.Return(lease))));
        }
        // Halfway: one that is lost on the way leaves time for another before the loan is over.
        for (Lease lease :
                missing < 0 ? List.<Lease>of() : ledger.endingWithin(terms.termMs() / 2)) {
            if (others.contains(lease.lender())
                    && asked.values().stream().noneMatch(ask -> lease.equals(ask.renews))) {
                asked.put(requests, new Asked(lease.lender(), clock.fastMs(), slow, lease));
                out.add(new Out(lease.lender(), new QuotaMessage.Renew(epoch, requests++, lease)));
            }
        }
        refused = 0;
        return out;
    }

    /** Those who lent last time, and others by chance. */
    private Set<String> candidates() {
        Set<String> whom = new LinkedHashSet<>();
        for (Iterator<String> known = lenders.iterator();
                known.hasNext() && whom.size() < ASKS / 2; ) {
            whom.add(known.next());
        }
        for (int tries = 0;
                whom.size() < Math.min(ASKS, others.size()) && tries < 4 * ASKS;
                tries++) {
            whom.add(others.get(chance.nextInt(others.size())));
        }
        return whom;
    }

    /** Those who lent when they were last asked. */
    public Set<String> lenders() {
        return Collections.unmodifiableSet(lenders);
    }

    private void ask(int missing, Set<String> whom, List<Out> out) {
        whom.removeIf(
                one ->
                        asked.values().stream()
                                .anyMatch(ask -> ask.renews == null && ask.of.equals(one)));
        for (String one : whom) {
            long request = requests++;
            asked.put(request, new Asked(one, clock.fastMs(), clock.slowMs(), null));
            out.add(
                    new Out(
                            one,
                            new QuotaMessage.Ask(
                                    epoch, request, (missing + whom.size() - 1) / whom.size())));
        }
    }

    /** Takes a message. */
    public List<Out> received(String from, QuotaMessage message) {
        if (message instanceof QuotaMessage.Ask ask) {
            return asked(from, ask);
        } else if (message instanceof QuotaMessage.Grant grant && grant.askerEpoch() == epoch) {
            Asked ask = asked.get(grant.request());
            if (ask != null
                    && ask.renews == null
                    && ask.of.equals(from)
                    && grant.loan().lender().equals(from)) {
                asked.remove(grant.request());
                lenders.add(from);
                if (!ledger.take(grant.loan(), ask.atFast)) {
                    // Too late to be used, and so nothing of it was.
                    return List.of(new Out(from, new QuotaMessage.Return(grant.loan())));
                }
            }
        } else if (message instanceof QuotaMessage.Nothing nothing
                && nothing.askerEpoch() == epoch) {
            Asked ask = asked.get(nothing.request());
            if (ask != null && ask.of.equals(from)) {
                asked.remove(nothing.request());
                lenders.remove(from);
            }
        } else if (message instanceof QuotaMessage.Renew renew) {
            // Not where it is wanted here by now; and every other time not where another was sent
            // away of late, so that who has
            // become busy later isn't left with nothing by those who were there first.
            boolean passedOn =
                    !from.equals(unmet)
                            && clock.slowMs() - unmetAt < ASK_MS
                            && chance.nextBoolean();
            boolean renewed =
                    !passedOn
                            && ledger.free() + ledger.used() >= wanted()
                            && ledger.renew(from, renew.loan());
            return List.of(
                    new Out(
                            from,
                            renewed
                                    ? new QuotaMessage.Renewed(
                                            renew.epoch(), renew.request(), renew.loan())
                                    : new QuotaMessage.Nothing(renew.epoch(), renew.request())));
        } else if (message instanceof QuotaMessage.Renewed renewed
                && renewed.askerEpoch() == epoch) {
            Asked ask = asked.get(renewed.request());
            if (ask != null && ask.of.equals(from) && renewed.loan().equals(ask.renews)) {
                asked.remove(renewed.request());
                ledger.renewed(ask.renews, ask.atFast);
            }
        } else if (message instanceof QuotaMessage.Return back) {
            ledger.returned(from, back.loan());
        }
        return List.of();
    }

    /** An order of names that differs from bound to bound, and is the same at all gatherers. */
    private int rank(String one) {
        return MurmurHash3.hash32x86((bound + '\n' + one).getBytes(StandardCharsets.UTF_8));
    }

    private List<Out> asked(String from, QuotaMessage.Ask ask) {
        QuotaMessage.Ask before = answered.get(from);
        if (before != null && before.epoch() == ask.epoch() && before.request() >= ask.request()) {
            return List.of();
        }
        answered.put(from, ask);
        // Where all hold less than is of use, all would ask and nobody lend: of two, one yields
        // whatever it has.
        boolean yields =
                terms.home() - ledger.lent() + ledger.borrowed() < piece
                        && rank(from) < rank(ledger.name());
        // Else half of what can be spared: the next who asks finds some as well.
        int spare = yields ? ledger.free() : (ledger.free() - wanted() + ledger.used()) / 2;
        Lease lease =
                ask.units() <= 0
                        ? null
                        : ledger.lend(
                                from,
                                Math.min(ask.units(), Math.max(spare, 0)),
                                yields ? 0 : Math.max(0, wanted() - ledger.used()));
        if (lease == null) {
            unmet = from;
            unmetAt = clock.slowMs();
        }
        return List.of(
                new Out(
                        from,
                        lease == null
                                ? new QuotaMessage.Nothing(ask.epoch(), ask.request())
                                : new QuotaMessage.Grant(ask.epoch(), ask.request(), lease)));
    }
}
