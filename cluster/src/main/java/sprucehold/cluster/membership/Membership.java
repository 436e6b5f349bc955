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
public final class Membership implements FailureDetector {
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
    private final Map<String, MemberUpdate> known = new TreeMap<>();
    private final Map<String, Double> changedAt = new TreeMap<>();
    private final Map<String, Suspicion> suspicions = new TreeMap<>();
    private final GossipQueue rumours = new GossipQueue();
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
    private final List<MemberUpdate> changes = new ArrayList<>();
    private MemberUpdate self;
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
        this.self = new MemberUpdate(name, site, life, 0, MemberUpdate.State.ALIVE);
        seeds.forEach(
                (seed, at) -> {
                    if (!seed.equals(name)) {
                        known.put(seed, new MemberUpdate(seed, at, 0, 0, MemberUpdate.State.DEAD));
                        changedAt.put(seed, 0.0);
                    }
                });
        digest = digest(self);
        rumours.add(self);
    }

    private void itself(MemberUpdate update) {
        digest ^= digest(self) ^ digest(update);
        self = update;
        spread(self);
    }

    private void put(MemberUpdate update) {
        MemberUpdate before = known.put(update.name(), update);
        changedAt.put(update.name(), now);
        met += (update.life() > 0 ? 1 : 0) - (before != null && before.life() > 0 ? 1 : 0);
        digest ^= (before == null ? 0 : digest(before)) ^ digest(update);
        if (update.state().counts()
                ? counting.add(update.name())
                : counting.remove(update.name())) {
            there = null;
        }
    }

    /**
     * Of one piece of news; nought where it says that somebody isn't there, as that is forgotten by
     * each in its own time.
     */
    private static long digest(MemberUpdate update) {
        return !update.state().counts()
                ? 0
                : MurmurHash3.hash128x64(
                        (update.name() + '/' + update.life() + '/' + update.incarnation())
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
    public List<MemberUpdate> view() {
        var view = new ArrayList<MemberUpdate>();
        view.add(self);
        view.addAll(known.values());
        return view;
    }

    /** What others have become since this was last asked. */
    public List<MemberUpdate> changes() {
        List<MemberUpdate> since = List.copyOf(changes);
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
        itself(self.with(MemberUpdate.State.LEFT));
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
                heard(known.get(name).with(MemberUpdate.State.DEAD), self.name());
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
                MemberUpdate update = known.get(probe.target);
                if (update != null && update.state().counts() && !cutOff()) {
                    heard(update.with(MemberUpdate.State.SUSPECT), self.name());
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
        for (MemberUpdate update : List.copyOf(known.values())) {
            if (!update.state().counts()
                    && update.life() > 0
                    && now - changedAt.get(update.name()) > FORGET_MS) {
                known.remove(update.name());
                met--;
            }
        }
        List<MemberUpdate> dead =
                known.values().stream()
                        .filter(update -> update.state() == MemberUpdate.State.DEAD)
                        .toList();
        if (!dead.isEmpty()) {
            String one = dead.get(chance.nextInt(dead.size())).name();
            out.add(new Out(one, new MemberMessage.Ping(numbers++, some(one))));
        }
    }

    // ---- Messages ----

    @Override
    public List<Out> received(double nowMs, String from, MemberMessage message) {
        now = nowMs;
        MemberUpdate before = known.get(from);
        message.news().forEach(update -> heard(update, from));
        var out = new ArrayList<Out>();
        if (message instanceof MemberMessage.Ping ping && self.state() != MemberUpdate.State.LEFT) {
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
        MemberUpdate after = known.get(from);
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

    private List<MemberUpdate> told() {
        return view().stream()
                .filter(update -> update.life() > 0 && !(superseded && update == self))
                .toList();
    }

    /** What another's table lacks. */
    private void beyond(String to, List<MemberUpdate> table, List<Out> out) {
        Map<String, MemberUpdate> theirs = new HashMap<>();
        table.forEach(update -> theirs.put(update.name(), update));
        List<MemberUpdate> beyond =
                told().stream()
                        .filter(
                                update ->
                                        !theirs.containsKey(update.name())
                                                || update.beats(theirs.get(update.name())))
                        .toList();
        if (!beyond.isEmpty()) {
            out.add(new Out(to, new MemberMessage.Table(false, beyond)));
        }
    }

    private void heard(MemberUpdate update, String from) {
        if (update.name().equals(self.name())) {
            heardOfItself(update);
            return;
        }
        MemberUpdate before = known.get(update.name());
        if (before != null && !update.beats(before)) {
            Suspicion suspicion = suspicions.get(update.name());
            if (suspicion != null
                    && update.equals(before)
                    && suspicion.by.size() <= CONFIRMATIONS) {
                // Another way that it came is another who suspects, or passes on whom it believes.
                suspicion.by.add(from);
            }
            return;
        }
        put(update);
        if (update.state() == MemberUpdate.State.SUSPECT) {
            var suspicion = new Suspicion(now);
            suspicion.by.add(from);
            suspicions.put(update.name(), suspicion);
        } else {
            suspicions.remove(update.name());
        }
        if (before == null || before.state() != update.state() || before.life() != update.life()) {
            changes.add(update);
        }
        spread(update);
    }

    private void heardOfItself(MemberUpdate update) {
        if (self.state() == MemberUpdate.State.LEFT) {
            return;
        }
        if (update.life() > self.life()) {
            if (update.state().counts()) {
                superseded = true;
            } else {
                // A clock that went back, or the other of two claimants is gone.
                superseded = false;
                itself(
                        new MemberUpdate(
                                self.name(),
                                self.site(),
                                update.life() + 1,
                                0,
                                MemberUpdate.State.ALIVE));
            }
        } else if (update.life() == self.life()
                && update.state() != MemberUpdate.State.ALIVE
                && !self.beats(update)) {
            itself(self.refuted(update.incarnation()));
            // Others had reason to doubt it.
            health = Math.min(WORST_HEALTH, health + 1);
        }
    }

    // ---- News that go along ----

    private void spread(MemberUpdate update) {
        if (!superseded || !update.name().equals(self.name())) {
            rumours.add(update);
        }
    }

    /** The news least often sent so far; what all have heard by now is sent no more. */
    private List<MemberUpdate> some(String to) {
        var news = new ArrayList<MemberUpdate>();
        MemberUpdate of = known.get(to);
        if (of != null && of.state() != MemberUpdate.State.ALIVE && of.life() > 0) {
            // First of all who is blamed should hear of it.
            news.add(of);
        }
        for (MemberUpdate rumour : rumours.next(NEWS - news.size(), known.size())) {
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
                            put(new MemberUpdate(name, site, 0, 0, MemberUpdate.State.DEAD));
                        });
    }
}
