package sprucehold.cluster.membership;

import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.apache.commons.codec.digest.MurmurHash3;

/**
 * Who is there, by SWIM with suspicion (Das, Gupta, Motivala 2002) and what Lifeguard added
 * (Dadgar, Phillips, Currey 2017): each asks one other a period, in a shuffled round; who doesn't
 * answer is asked through three others, then suspected, and held to be dead if it doesn't refute
 * that in time. The time is long while only one suspects and short once others do too. A gatherer
 * that has trouble itself, as its probes fail or its ticks come late, waits longer before it blames
 * others. News go along with probes, so that messages a second don't grow with the fleet.
 */
public final class Membership implements Detector {
    /**
     * One probe in so long; half a second to a second is usual, and a budget's term is several
     * times that.
     */
    public static final double PERIOD_MS = 1000;

    /** Ticks a period: deadlines within it are met this closely. */
    private static final int TICKS = 5;

    /** An answer takes less than that within an installation but for trouble. */
    private static final double DIRECT_MS = 300;

    private static final int INDIRECT = 3;

    /**
     * In periods, times the decimal logarithm of the size: Lifeguard's alpha, and beta for one
     * suspecter alone.
     */
    private static final double LEAST_SUSPICION = 4;

    private static final double MOST_OVER_LEAST = 6;

    /** Other suspecters after whom the shortest time holds. */
    private static final int CONFIRMATIONS = 3;

    private static final int WORST_HEALTH = 8;

    /**
     * So many asked in a row and none answered: the fault is more likely here than at all of them.
     */
    private static final int CUT_OFF = 3;

    /** Pieces of news in a message: some 70 bytes each keep it under 1,200. */
    private static final int NEWS = 12;

    /**
     * How often another is asked whether it believes the same, and sooner while the last one
     * didn't.
     */
    private static final double COMPARE_MS = 10_000;

    private static final double COMPARE_SOON_MS = 2000;

    /** Whole tables leave no oftener: of a thousand members one is 70 kB. */
    private static final double TABLE_MS = 500;

    /**
     * How often one who is held dead is asked all the same, so that a healed cut is found; who was
     * never met each period.
     */
    private static final double CALL_THE_DEAD_MS = 5000;

    /**
     * A dead one that nobody heard of for so long is forgotten: an hour outlasts repairs, and
     * bounds what is held.
     */
    private static final double FORGET_MS = 3_600_000;

    private static final class Suspicion {
        final double sinceMs;
        final Set<String> by = new HashSet<>();
        boolean asked;

        Suspicion(double sinceMs) {
            this.sinceMs = sinceMs;
        }
    }

    private static final class Probe {
        final String target;
        final double atMs;
        boolean indirect;

        Probe(String target, double atMs) {
            this.target = target;
            this.atMs = atMs;
        }
    }

    /** A probe made for another. */
    private record Errand(String of, long number, double atMs) {}

    private final Random chance;
    private final boolean suspects;
    private final Map<String, News> known = new TreeMap<>();
    private final Map<String, Double> changedAt = new TreeMap<>();
    private final Map<String, Suspicion> suspicions = new TreeMap<>();
    private final Rumours rumours = new Rumours();
    private final Set<String> counting = new TreeSet<>();

    /** A copy of these; null when it has to be made anew. */
    private Set<String> there = Set.of();

    /** How many of the known have been heard of in any life. */
    private int met;

    /** Of all that count, itself included; the same at all who believe the same. */
    private long digest;

    private final Map<Long, Probe> probes = new LinkedHashMap<>();
    private final Map<Long, Errand> errands = new LinkedHashMap<>();
    private final Deque<String> round = new ArrayDeque<>();
    private final List<News> changes = new ArrayList<>();
    private News self;
    private long numbers;
    private int health;
    private int unanswered;
    private double now;
    private double tickedAt = Double.NaN;
    private double probedAt = Double.NEGATIVE_INFINITY;
    private double calledAt;

    /** Another process of this name and a later life is there: this one claims nothing. */
    private boolean superseded;

    private double comparedAt = Double.NEGATIVE_INFINITY;
    private double tableAt = Double.NEGATIVE_INFINITY;

    /** Whether the last it heard of another's belief was that it differs. */
    private boolean differed = true;

    /**
     * @param life by the wall clock at the start, so that it is later than any before; if it isn't,
     *     that is found and mended
     * @param seeds names that may be there, and the site of each
     */
    public Membership(
            String name, String site, long life, Map<String, String> seeds, Random chance) {
        this(name, site, life, seeds, chance, true);
    }

    /**
     * @param suspects false to hold dead at once who doesn't answer, to compare with
     */
    public Membership(
            String name,
            String site,
            long life,
            Map<String, String> seeds,
            Random chance,
            boolean suspects) {
        this.chance = chance;
        this.suspects = suspects;
        this.self = new News(name, site, life, 0, News.State.ALIVE);
        seeds.forEach(
                (seed, at) -> {
                    if (!seed.equals(name)) {
                        known.put(seed, new News(seed, at, 0, 0, News.State.DEAD));
                        changedAt.put(seed, 0.0);
                    }
                });
        digest = digest(self);
        rumours.add(self);
    }

    private void itself(News news) {
        digest ^= digest(self) ^ digest(news);
        self = news;
        spread(self);
    }

    private void put(News news) {
        News before = known.put(news.name(), news);
        changedAt.put(news.name(), now);
        met += (news.life() > 0 ? 1 : 0) - (before != null && before.life() > 0 ? 1 : 0);
        digest ^= (before == null ? 0 : digest(before)) ^ digest(news);
        if (news.state().counts() ? counting.add(news.name()) : counting.remove(news.name())) {
            there = null;
        }
    }

    /**
     * Of one piece of news; nought where it says that somebody isn't there, as that is forgotten by
     * each in its own time.
     */
    private static long digest(News news) {
        return !news.state().counts()
                ? 0
                : MurmurHash3.hash128x64(
                        (news.name() + '/' + news.life() + '/' + news.incarnation())
                                .getBytes(StandardCharsets.UTF_8))[0];
    }

    @Override
    public double tickMs() {
        return PERIOD_MS / TICKS;
    }

    @Override
    public Set<String> there() {
        if (there == null) {
            there = Collections.unmodifiableSet(new TreeSet<>(counting));
        }
        return there;
    }

    /** What is known of all, itself first. */
    public List<News> view() {
        var view = new ArrayList<News>();
        view.add(self);
        view.addAll(known.values());
        return view;
    }

    /** What others have become since this was last asked. */
    public List<News> changes() {
        List<News> since = List.copyOf(changes);
        changes.clear();
        return since;
    }

    /**
     * Whether another process claims this name with a later life. What a share rests on must not be
     * used then.
     */
    public boolean superseded() {
        return superseded;
    }

    /** How much it doubts itself, from 0 to 8: times are so much longer, in parts of themselves. */
    public int health() {
        return health;
    }

    /** Says that it goes; the messages are the last that it sends. */
    public List<Out> leave() {
        itself(self.with(News.State.LEFT));
        var out = new ArrayList<Out>();
        List<String> alive = new ArrayList<>(there());
        Collections.shuffle(alive, chance);
        alive.stream()
                .limit(INDIRECT)
                .forEach(
                        one -> out.add(new Out(one, new MemberMessage.Ping(numbers++, some(one)))));
        return out;
    }

    // ---- Time ----

    @Override
    public List<Out> tick(double nowMs) {
        now = nowMs;
        // Held up for over a period itself: what it had out tells nothing, and it doubts itself
        // first.
        if (now - tickedAt > PERIOD_MS + tickMs()) {
            probes.clear();
            health = WORST_HEALTH;
            later(now - tickedAt);
        } else if (cutOff()) {
            later(now - tickedAt);
        }
        tickedAt = now;
        var out = new ArrayList<Out>();
        lookAtProbes(out);
        errands.values().removeIf(errand -> now - errand.atMs > 3 * PERIOD_MS);
        for (String name : List.copyOf(suspicions.keySet())) {
            Suspicion suspicion = suspicions.get(name);
            double left = suspicion.sinceMs + suspicionMs(suspicion) - now;
            if (left <= 0) {
                heard(known.get(name).with(News.State.DEAD), self.name());
            } else if (left <= PERIOD_MS && !suspicion.asked) {
                // Its refutation may have passed this member by: who is blamed hears of it first,
                // and answers with it.
                suspicion.asked = true;
                out.add(new Out(name, new MemberMessage.Ping(numbers++, some(name))));
            }
        }
        if (now - probedAt >= PERIOD_MS * (1 + health / 4.0)) {
            probedAt = now;
            probe(out);
        }
        if (now - comparedAt >= (differed ? COMPARE_SOON_MS : COMPARE_MS) && !counting.isEmpty()) {
            comparedAt = now;
            differed = false;
            List<String> all = List.copyOf(there());
            String one = all.get(chance.nextInt(all.size()));
            out.add(new Out(one, new MemberMessage.Compare(digest, some(one))));
        }
        if (now - calledAt >= (met < known.size() ? PERIOD_MS : CALL_THE_DEAD_MS)) {
            calledAt = now;
            callTheDead(out);
        }
        return out;
    }

    /** Time in which it could not judge counts against nobody. */
    private void later(double ms) {
        suspicions.replaceAll(
                (name, suspicion) -> {
                    var later = new Suspicion(suspicion.sinceMs + ms);
                    later.by.addAll(suspicion.by);
                    later.asked = suspicion.asked;
                    return later;
                });
    }

    /**
     * Whether it has to hold itself to be cut off. It blames nobody then: one that nobody hears
     * would find all others dead, and once it is heard again have the whole fleet believe it.
     */
    public boolean cutOff() {
        return unanswered >= CUT_OFF;
    }

    private double suspicionMs(Suspicion suspicion) {
        if (!suspects) {
            return 0;
        }
        double least = LEAST_SUSPICION * Math.max(1, Math.log10(counting.size() + 1)) * PERIOD_MS;
        // One who suspects alone may have the fault on its own side.
        double left = Math.log(suspicion.by.size()) / Math.log(CONFIRMATIONS + 1);
        return Math.max(
                least, least * (MOST_OVER_LEAST - (MOST_OVER_LEAST - 1) * Math.min(1, left)));
    }

    private double patient(double ms) {
        return ms * (1 + health / 4.0);
    }

    private void lookAtProbes(List<Out> out) {
        for (Map.Entry<Long, Probe> one : List.copyOf(probes.entrySet())) {
            Probe probe = one.getValue();
            if (!probe.indirect && now - probe.atMs >= patient(DIRECT_MS)) {
                probe.indirect = true;
                List<String> helpers = new ArrayList<>(there());
                helpers.remove(probe.target);
                Collections.shuffle(helpers, chance);
                helpers.stream()
                        .limit(INDIRECT)
                        .forEach(
                                helper ->
                                        out.add(
                                                new Out(
                                                        helper,
                                                        new MemberMessage.PingFor(
                                                                one.getKey(),
                                                                probe.target,
                                                                some(helper)))));
            }
            if (now - probe.atMs >= patient(PERIOD_MS)) {
                probes.remove(one.getKey());
                health = Math.min(WORST_HEALTH, health + 1);
                unanswered++;
                News news = known.get(probe.target);
                if (news != null && news.state().counts() && !cutOff()) {
                    heard(news.with(News.State.SUSPECT), self.name());
                }
            }
        }
    }

    private void probe(List<Out> out) {
        while (!round.isEmpty() && !counts(round.peek())) {
            round.poll();
        }
        if (round.isEmpty()) {
            List<String> next = new ArrayList<>(there());
            Collections.shuffle(next, chance);
            round.addAll(next);
        }
        String target = round.poll();
        if (target == null) {
            callTheDead(out);
            return;
        }
        probes.put(numbers, new Probe(target, now));
        out.add(new Out(target, new MemberMessage.Ping(numbers++, some(target))));
    }

    private boolean counts(String name) {
        return counting.contains(name);
    }

    /** Nobody asks the dead, so a cut that is mended would never be found. */
    private void callTheDead(List<Out> out) {
        for (News news : List.copyOf(known.values())) {
            if (!news.state().counts()
                    && news.life() > 0
                    && now - changedAt.get(news.name()) > FORGET_MS) {
                known.remove(news.name());
                met--;
            }
        }
        List<News> dead =
                known.values().stream().filter(news -> news.state() == News.State.DEAD).toList();
        if (!dead.isEmpty()) {
            String one = dead.get(chance.nextInt(dead.size())).name();
            out.add(new Out(one, new MemberMessage.Ping(numbers++, some(one))));
        }
    }

    // ---- Messages ----

    @Override
    public List<Out> received(double nowMs, String from, MemberMessage message) {
        now = nowMs;
        News before = known.get(from);
        message.news().forEach(news -> heard(news, from));
        var out = new ArrayList<Out>();
        if (message instanceof MemberMessage.Ping ping && self.state() != News.State.LEFT) {
            // Whoever is superseded goes on asking, to learn when its name is free, but answers for
            // nobody.
            if (!superseded) {
                out.add(new Out(from, new MemberMessage.Ack(ping.number(), some(from))));
            }
        } else if (message instanceof MemberMessage.Ack ack) {
            answered(ack.number(), out);
        } else if (message instanceof MemberMessage.PingFor please && !superseded) {
            errands.put(numbers, new Errand(from, please.number(), now));
            out.add(
                    new Out(
                            please.target(),
                            new MemberMessage.Ping(numbers++, some(please.target()))));
        } else if (message instanceof MemberMessage.Compare compare && compare.digest() != digest) {
            differed = true;
            table(from, out);
        } else if (message instanceof MemberMessage.Table table && table.back()) {
            differed = true;
            beyond(from, table.news(), out);
        }
        News after = known.get(from);
        if (after != null
                && after.state().counts()
                && (before == null || !before.state().counts() || before.life() != after.life())) {
            // It is back from the other side of a cut, where much else has happened, or has begun
            // anew and knows nobody.
            table(from, out);
        }
        return out;
    }

    private void answered(long number, List<Out> out) {
        if (probes.remove(number) != null) {
            health = Math.max(0, health - 1);
            unanswered = 0;
        }
        Errand errand = errands.remove(number);
        if (errand != null) {
            out.add(new Out(errand.of, new MemberMessage.Ack(errand.number, some(errand.of))));
        }
    }

    /**
     * All that it knows, unless a table has left just now: who believes something else still does
     * when it asks again.
     */
    private void table(String to, List<Out> out) {
        differed = true;
        if (now - tableAt >= TABLE_MS) {
            tableAt = now;
            out.add(new Out(to, new MemberMessage.Table(true, told())));
        }
    }

    private List<News> told() {
        return view().stream()
                .filter(news -> news.life() > 0 && !(superseded && news == self))
                .toList();
    }

    /** What another's table lacks. */
    private void beyond(String to, List<News> table, List<Out> out) {
        Map<String, News> theirs = new HashMap<>();
        table.forEach(news -> theirs.put(news.name(), news));
        List<News> beyond =
                told().stream()
                        .filter(
                                news ->
                                        !theirs.containsKey(news.name())
                                                || news.beats(theirs.get(news.name())))
                        .toList();
        if (!beyond.isEmpty()) {
            out.add(new Out(to, new MemberMessage.Table(false, beyond)));
        }
    }

    private void heard(News news, String from) {
        if (news.name().equals(self.name())) {
            heardOfItself(news);
            return;
        }
        News before = known.get(news.name());
        if (before != null && !news.beats(before)) {
            Suspicion suspicion = suspicions.get(news.name());
            if (suspicion != null && news.equals(before) && suspicion.by.size() <= CONFIRMATIONS) {
                // Another way that it came is another who suspects, or passes on whom it believes.
                suspicion.by.add(from);
            }
            return;
        }
        put(news);
        if (news.state() == News.State.SUSPECT) {
            var suspicion = new Suspicion(now);
            suspicion.by.add(from);
            suspicions.put(news.name(), suspicion);
        } else {
            suspicions.remove(news.name());
        }
        if (before == null || before.state() != news.state() || before.life() != news.life()) {
            changes.add(news);
        }
        spread(news);
    }

    private void heardOfItself(News news) {
        if (self.state() == News.State.LEFT) {
            return;
        }
        if (news.life() > self.life()) {
            if (news.state().counts()) {
                superseded = true;
            } else {
                // A clock that went back, or the other of two claimants is gone.
                superseded = false;
                itself(new News(self.name(), self.site(), news.life() + 1, 0, News.State.ALIVE));
            }
        } else if (news.life() == self.life()
                && news.state() != News.State.ALIVE
                && !self.beats(news)) {
            itself(self.refuted(news.incarnation()));
            // Others had reason to doubt it.
            health = Math.min(WORST_HEALTH, health + 1);
        }
    }

    // ---- News that go along ----

    private void spread(News news) {
        if (!superseded || !news.name().equals(self.name())) {
            rumours.add(news);
        }
    }

    /** The news least often sent so far; what all have heard by now is sent no more. */
    private List<News> some(String to) {
        var news = new ArrayList<News>();
        News of = known.get(to);
        if (of != null && of.state() != News.State.ALIVE && of.life() > 0) {
            // First of all who is blamed should hear of it.
            news.add(of);
        }
        for (News rumour : rumours.next(NEWS - news.size(), known.size())) {
            if (!news.contains(rumour)) {
                news.add(rumour);
            }
        }
        // Who is not known yet makes itself known by what it says.
        if (!superseded && news.stream().noneMatch(one -> one.name().equals(self.name()))) {
            if (news.size() == NEWS) {
                news.remove(NEWS - 1);
            }
            news.add(self);
        }
        return List.copyOf(news);
    }

    /** Those named by discovery or configuration since the start; known ones stay as they are. */
    public void mayBeThere(Collection<String> names, String site) {
        names.stream()
                .filter(name -> !name.equals(self.name()) && !known.containsKey(name))
                .forEach(
                        name -> {
                            put(new News(name, site, 0, 0, News.State.DEAD));
                        });
    }
}
