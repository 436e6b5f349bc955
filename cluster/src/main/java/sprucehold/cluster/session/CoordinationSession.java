package sprucehold.cluster.session;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Deque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import sprucehold.cluster.counter.CounterTable;
import sprucehold.cluster.evidence.EvidenceTable;
import sprucehold.cluster.evidence.FailureAssessment;
import sprucehold.cluster.membership.FailureDetector;
import sprucehold.cluster.membership.MemberUpdate;
import sprucehold.cluster.membership.Membership;
import sprucehold.cluster.quota.LeaseExchange;
import sprucehold.cluster.quota.MonotonicLeaseClock;
import sprucehold.cluster.quota.Permit;
import sprucehold.cluster.quota.QuotaLedger;
import sprucehold.cluster.quota.QuotaMessage;
import sprucehold.cluster.quota.QuotaTerms;

/** One gatherer among others: who is there, what is shared, what was counted and seen. */
public final class CoordinationSession {
    /** A letter to another. */
    public record Out(String to, ClusterMessage letter) {}

    /**
     * What stands with one bound.
     *
     * @param home units that are this gatherer's own
     * @param free units that may be used now
     */
    public record Held(int home, int lent, int borrowed, int used, int free) {}

    /** What one gatherer knows, for operators. */
    public record Status(
            List<MemberUpdate> members,
            Map<String, Held> bounds,
            boolean superseded,
            boolean cutOff,
            int health,
            long dropped) {}

    /**
     * Its own counts and sightings go to so many others a second, in turn, each round in another
     * order.
     */
    private static final int NEWS_TO = 8;

    /**
     * And to so many while it has seen a server fail: a hundred others hear of that in four
     * seconds, before it has faded.
     */
    private static final int TROUBLE_TO = 25;

    private static final double NEWS_MS = 1000;
    private static final int COUNTS = 6;
    private static final int SIGHTINGS = 4;

    /**
     * Messages on shares in a letter: some 100 bytes each with the name of their bound keep it
     * within a datagram.
     */
    private static final int SHARES = 10;

    /** One bound, as this gatherer holds its part of it. */
    private static final class Holding {
        final QuotaTerms terms;
        final QuotaLedger ledger;
        final LeaseExchange exchange;

        /** Nobody uses or lends it any more; kept until what is out of it has lapsed. */
        boolean ending;

        Holding(QuotaTerms terms, QuotaLedger ledger, LeaseExchange exchange) {
            this.terms = terms;
            this.ledger = ledger;
            this.exchange = exchange;
        }
    }

    private final Membership membership;
    private final Map<String, Holding> holdings = new TreeMap<>();
    private final CounterTable counts;
    private final EvidenceTable evidence;
    private final MonotonicLeaseClock clock = new MonotonicLeaseClock();
    private final Random chance;
    private final double lettersPerS;
    private final String name;
    private boolean wasSuperseded;
    private Set<String> there = Set.of();
    private final Deque<String> round = new ArrayDeque<>();
    private double room;
    private double roomAt;
    private double sharesAt = Double.NEGATIVE_INFINITY;

    /** Which life shares are held in, and since when by the slow clock. */
    private long life;

    private double lifeAt;
    private double newsAt;
    private long dropped;

    /**
     * @param life by the wall clock at the start, in milliseconds
     * @param others names that may be there, and the site of each
     */
    public CoordinationSession(
            SessionSettings terms,
            String name,
            String site,
            long life,
            Map<String, String> others,
            long seed,
            double countedMs,
            double wallMs) {
        this.chance = new Random(seed);
        this.lettersPerS = terms.lettersPerS();
        this.room = lettersPerS;
        clock.read(countedMs, wallMs);
        this.membership = new Membership(name, site, life, others, new Random(chance.nextLong()));
        this.counts = new CounterTable(name, life, terms.countHalfMs());
        this.evidence = new EvidenceTable(name, site);
        this.name = name;
        this.life = life;
        this.lifeAt = clock.slowMs();
        new TreeMap<>(terms.bounds()).forEach(this::hold);
    }

    private void hold(String bound, QuotaTerms terms) {
        var ledger = new QuotaLedger(name, life, terms, clock, clock.slowMs() - lifeAt);
        holdings.put(
                bound,
                new Holding(
                        terms,
                        ledger,
                        new LeaseExchange(
                                bound,
                                terms,
                                ledger,
                                clock,
                                life,
                                there,
                                new Random(chance.nextLong()))));
    }

    /** Shares as of a new life: as if all had been used and lent the moment before. */
    private void beginShares(long newLife) {
        life = newLife;
        lifeAt = clock.slowMs();
        holdings.values().removeIf(holding -> holding.ending);
        new TreeMap<>(holdings).forEach((bound, holding) -> hold(bound, holding.terms));
    }

    /**
     * A bound has come up. One that ended a moment ago goes on as it was, with what is out of it.
     */
    public void begin(double countedMs, double wallMs, String bound, QuotaTerms terms) {
        read(countedMs, wallMs);
        Holding before = holdings.get(bound);
        if (before == null) {
            hold(bound, terms);
        } else {
            before.ending = false;
        }
    }

    /** A bound has no meaning any more. */
    public void end(String bound) {
        Holding holding = holdings.get(bound);
        if (holding != null) {
            holding.ending = true;
        }
    }

    /**
     * States how many units of a bound are wanted in a window; see {@link LeaseExchange#want}.
     * Nothing where it isn't held.
     */
    public void want(String bound, int units, int atOnce) {
        Holding holding = held(bound);
        if (holding != null) {
            holding.exchange.want(units, atOnce);
        }
    }

    /** Units of a bound that may be used now; 0 where it isn't held or mustn't be used. */
    public int free(double countedMs, double wallMs, String bound) {
        read(countedMs, wallMs);
        Holding holding = held(bound);
        return holding == null || membership.superseded() ? 0 : holding.ledger.free();
    }

    private Holding held(String bound) {
        Holding holding = holdings.get(bound);
        return holding == null || holding.ending ? null : holding;
    }

    /** How often {@link #tick} is to be called, in milliseconds. */
    public double tickMs() {
        return membership.tickMs();
    }

    private double read(double countedMs, double wallMs) {
        clock.read(countedMs, wallMs);
        double now = clock.slowMs();
        room = Math.min(lettersPerS, room + (now - roomAt) / 1000 * lettersPerS);
        roomAt = now;
        return now;
    }

    /** Lets time pass. */
    public List<Out> tick(double countedMs, double wallMs) {
        double now = read(countedMs, wallMs);
        var out = new ArrayList<Out>();
        ofMembers(membership.tick(now), out);
        if (now - sharesAt >= LeaseExchange.TICK_MS && !membership.superseded()) {
            sharesAt = now;
            shares(out);
        }
        if (now - newsAt >= NEWS_MS) {
            newsAt = now;
            news(now, out);
        }
        return within(out);
    }

    /**
     * All bounds ask the same few, those who lent before first, so that what is asked of one goes
     * in one letter.
     */
    private void shares(List<Out> out) {
        holdings.values()
                .removeIf(
                        holding ->
                                holding.ending
                                        && holding.ledger.lent() == 0
                                        && holding.ledger.used() == 0);
        var whom = new LinkedHashSet<String>();
        holdings.values()
                .forEach(
                        holding ->
                                holding.exchange.lenders().stream()
                                        .limit(Math.max(0, LeaseExchange.ASKS / 2 - whom.size()))
                                        .forEach(whom::add));
        List<String> all = List.copyOf(there);
        for (int tries = 0;
                whom.size() < Math.min(LeaseExchange.ASKS, all.size())
                        && tries < 4 * LeaseExchange.ASKS;
                tries++) {
            whom.add(all.get(chance.nextInt(all.size())));
        }
        var to = new TreeMap<String, List<ClusterMessage.OfShare>>();
        holdings.forEach(
                (bound, holding) -> {
                    if (!holding.ending) {
                        holding.exchange
                                .tick(whom)
                                .forEach(
                                        one ->
                                                to.computeIfAbsent(
                                                                one.to(), none -> new ArrayList<>())
                                                        .add(
                                                                new ClusterMessage.OfShare(
                                                                        bound, one.message())));
                    }
                });
        to.forEach((one, shares) -> ofShares(one, shares, out));
    }

    private static void ofShares(String to, List<ClusterMessage.OfShare> shares, List<Out> out) {
        for (int from = 0; from < shares.size(); from += SHARES) {
            out.add(
                    new Out(
                            to,
                            new ClusterMessage.OfShares(
                                    List.copyOf(
                                            shares.subList(
                                                    from,
                                                    Math.min(shares.size(), from + SHARES))))));
        }
    }

    /**
     * Each tells the others itself. To pass on what a third has seen would be quicker, and one liar
     * could speak for many.
     */
    private void news(double now, List<Out> out) {
        var letter = new ClusterMessage.OfNews(counts.own(COUNTS), evidence.tell(now, SIGHTINGS));
        if (letter.counts().isEmpty() && letter.sightings().isEmpty()) {
            return;
        }
        boolean trouble = letter.sightings().stream().anyMatch(one -> one.bad() > one.good());
        for (int left = Math.min(trouble ? TROUBLE_TO : NEWS_TO, there.size()); left > 0; left--) {
            if (round.isEmpty()) {
                List<String> next = new ArrayList<>(there);
                Collections.shuffle(next, chance);
                round.addAll(next);
            }
            String one = round.poll();
            if (there.contains(one)) {
                out.add(new Out(one, letter));
            }
        }
    }

    private void ofMembers(List<FailureDetector.Out> messages, List<Out> out) {
        messages.forEach(
                one -> out.add(new Out(one.to(), new ClusterMessage.OfMembers(one.message()))));
        Set<String> now = membership.there();
        if (!now.equals(there)) {
            there = now;
            holdings.values().forEach(holding -> holding.exchange.heard(now));
            evidence.there(now);
        }
        if (wasSuperseded && !membership.superseded()) {
            // The other of this name had the same home, and what it used and lent until just now
            // isn't known here.
            beginShares(membership.view().get(0).life());
        }
        wasSuperseded = membership.superseded();
    }

    /**
     * What of it may leave now: probes and their answers first, as all else rests on them; then
     * what frees units.
     */
    private List<Out> within(List<Out> out) {
        out.sort((one, other) -> Integer.compare(rank(one.letter), rank(other.letter)));
        int most = (int) Math.min(out.size(), Math.floor(room));
        room -= most;
        dropped += out.size() - most;
        return List.copyOf(out.subList(0, most));
    }

    private static int rank(ClusterMessage message) {
        if (message instanceof ClusterMessage.OfMembers) {
            return 0;
        }
        return message instanceof ClusterMessage.OfShares shares
                        && shares.shares().stream()
                                .anyMatch(one -> !(one.message() instanceof QuotaMessage.Ask))
                ? 1
                : 2;
    }

    /** Takes a letter from another. */
    public List<Out> received(
            double countedMs, double wallMs, String from, ClusterMessage message) {
        double now = read(countedMs, wallMs);
        var out = new ArrayList<Out>();
        if (message instanceof ClusterMessage.OfMembers members) {
            ofMembers(membership.received(now, from, members.message()), out);
        } else if (message instanceof ClusterMessage.OfShares shares) {
            var answers = new ArrayList<ClusterMessage.OfShare>();
            for (ClusterMessage.OfShare one : shares.shares()) {
                // What is ending lends nothing, but what comes back to it frees it sooner.
                Holding holding =
                        one.message() instanceof QuotaMessage.Ask
                                ? held(one.bound())
                                : holdings.get(one.bound());
                if (holding != null && !membership.superseded()) {
                    holding.exchange
                            .received(from, one.message())
                            .forEach(
                                    answer ->
                                            answers.add(
                                                    new ClusterMessage.OfShare(
                                                            one.bound(), answer.message())));
                }
            }
            ofShares(from, answers, out);
        } else if (message instanceof ClusterMessage.OfNews news) {
            // Each speaks for itself alone.
            news.counts().stream()
                    .filter(count -> count.gatherer().equals(from))
                    .forEach(count -> counts.heard(now, count));
            news.sightings().stream()
                    .filter(one -> one.observer().equals(from))
                    .forEach(one -> evidence.heard(now, one));
        }
        return within(out);
    }

    /** Says that it goes. */
    public List<Out> leave(double countedMs, double wallMs) {
        read(countedMs, wallMs);
        var out = new ArrayList<Out>();
        ofMembers(membership.leave(), out);
        return within(out);
    }

    /**
     * Uses units of a bound, if they are free and this process is the only one of its name as far
     * as it has heard.
     *
     * @return null if they may not be used
     * @throws IllegalArgumentException if no bound has that name
     */
    public Permit use(double countedMs, double wallMs, String bound, int units) {
        read(countedMs, wallMs);
        Holding holding = held(bound);
        if (holding == null) {
            throw new IllegalArgumentException(
                    "no bound is called "
                            + bound
                            + "; one of "
                            + holdings.keySet()
                            + " was expected");
        }
        return membership.superseded() ? null : holding.exchange.use(units);
    }

    /** Leave to send for so long what this gatherer has counted itself, and nobody else can use. */
    public Permit permit(double countedMs, double wallMs, double forMs) {
        read(countedMs, wallMs);
        return new Permit(clock.fastMs() + forMs);
    }

    /** Another process of this name has started later; this one shares nothing. */
    public boolean superseded() {
        return membership.superseded();
    }

    /** No other answers. */
    public boolean cutOff() {
        return membership.cutOff();
    }

    /** What others have become since this was last asked. */
    public List<MemberUpdate> changes() {
        return membership.changes();
    }

    /** How many others are held to be there. */
    public int there() {
        return there.size();
    }

    /** Whether a permit still holds; to be asked right before what it is for is sent. */
    public boolean holds(double countedMs, double wallMs, Permit permit) {
        read(countedMs, wallMs);
        return permit.holds(clock) && !membership.superseded();
    }

    /** Counts what this gatherer has sent. */
    public void counted(double countedMs, double wallMs, String key, long units) {
        counts.add(read(countedMs, wallMs), key, units);
    }

    /** Units a second that others send of a key. */
    public double othersPerSecond(double countedMs, double wallMs, String key) {
        return counts.othersPerSecond(read(countedMs, wallMs), key);
    }

    /** Notes how a dispatch of this gatherer's ended. */
    public void saw(
            double countedMs,
            double wallMs,
            String server,
            String serverSite,
            double startedAtMs,
            boolean well) {
        evidence.saw(read(countedMs, wallMs), server, serverSite, startedAtMs, well);
    }

    /** What others saw of a server. */
    public FailureAssessment opinion(
            double countedMs, double wallMs, String server, double startedAtMs) {
        return evidence.of(read(countedMs, wallMs), server, startedAtMs);
    }

    /** What stands with one bound; null where it isn't held. */
    public Held held(double countedMs, double wallMs, String bound) {
        read(countedMs, wallMs);
        Holding holding = held(bound);
        return holding == null ? null : held(holding);
    }

    private static Held held(Holding holding) {
        return new Held(
                holding.terms.home(),
                holding.ledger.lent(),
                holding.ledger.borrowed(),
                holding.ledger.used(),
                holding.ledger.free());
    }

    public Status status(double countedMs, double wallMs) {
        read(countedMs, wallMs);
        var held = new TreeMap<String, Held>();
        holdings.forEach((bound, holding) -> held.put(bound, held(holding)));
        return new Status(
                membership.view(),
                held,
                membership.superseded(),
                membership.cutOff(),
                membership.health(),
                dropped);
    }
}
