package sprucehold.cluster.simulation;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.IntStream;
import sprucehold.cluster.membership.FailureDetector;
import sprucehold.cluster.membership.Membership;

/**
 * A fleet that watches itself, in simulated time: how soon all know of a death, and who is held
 * dead and isn't.
 */
public final class MembershipSimulation {
    /** Ways to know who is there. */
    public enum Way {
        HEARTBEATS_TO_ALL,
        SWIM_WITHOUT_SUSPICION,
        SWIM,
        PHI_GOSSIP
    }

    /**
     * What is played.
     *
     * @param faults {@link SimulatedFault.Kind#DEAD} is a death that is to be known, all others are
     *     none
     */
    public record Setting(
            int members, double lengthMs, Network network, List<SimulatedFault> faults) {}

    /**
     * What came of it.
     *
     * @param firstMs when the first of those alive knew of each death, after it, at the median; NaN
     *     where none did
     * @param allMs when the last of those alive knew, likewise; NaN where not all ever did
     * @param falselyDead times that a member held another dead, and nothing had befallen either
     * @param wrongAtEnd pairs of members up, one of which holds the other dead at the end
     * @param messages a member and second
     */
    public record Result(
            double firstMs, double allMs, long falselyDead, long wrongAtEnd, double messages) {}

    private final Setting setting;
    private final Way way;
    private final Random random;
    private final EventQueue events = new EventQueue();
    private final List<FailureDetector> members = new ArrayList<>();
    private final List<List<Runnable>> later = new ArrayList<>();
    private final List<Set<String>> believed = new ArrayList<>();
    private final Map<Integer, TreeMap<Double, Integer>> knownBy = new HashMap<>();

    /**
     * How closely times to know are told: looking at a thousand views costs more than making them.
     */
    private final double lookMs;

    private final double[] lookedAt;
    private long messages;
    private long falselyDead;

    private MembershipSimulation(Setting setting, Way way, long seed) {
        this.setting = setting;
        this.way = way;
        this.random = new Random(seed);
        this.lookMs = setting.members > 200 ? 1000 : 200;
        this.lookedAt = new double[setting.members];
    }

    /** Plays it; the same for the same seed. */
    public static Result play(Setting setting, Way way, long seed) {
        return new MembershipSimulation(setting, way, seed).play();
    }

    private static String name(int member) {
        return "g" + member;
    }

    private FailureDetector detector(int member) {
        List<String> all =
                IntStream.range(0, setting.members).mapToObj(MembershipSimulation::name).toList();
        var own = new Random(random.nextLong());
        return switch (way) {
            case HEARTBEATS_TO_ALL -> new HeartbeatsToAll(name(member), all);
            case PHI_GOSSIP -> new PhiGossip(name(member), all, own);
            case SWIM, SWIM_WITHOUT_SUSPICION -> {
                var seeds = new TreeMap<String, String>();
                all.forEach(one -> seeds.put(one, "a"));
                // As after a start long ago: all know of all.
                yield new Membership(
                        name(member), "a", 1 + (long) events.nowMs(), seeds, own, way == Way.SWIM);
            }
        };
    }

    private boolean is(SimulatedFault.Kind kind, int member) {
        return setting.faults.stream()
                .anyMatch(
                        one ->
                                one.kind() == kind
                                        && one.members().contains(member)
                                        && one.isActiveAt(events.nowMs()));
    }

    private void act(int member, Runnable what) {
        if (is(SimulatedFault.Kind.PAUSED, member)) {
            later.get(member).add(what);
        } else if (!is(SimulatedFault.Kind.DEAD, member)) {
            what.run();
            if (events.nowMs() - lookedAt[member] >= lookMs) {
                lookedAt[member] = events.nowMs();
                believe(member);
            }
        }
    }

    private Result play() {
        for (int i = 0; i < setting.members; i++) {
            int member = i;
            members.add(detector(i));
            later.add(new ArrayList<>());
            believed.add(Set.of());
            events.schedule(random.nextDouble() * members.get(i).tickMs(), () -> tick(member));
        }
        for (SimulatedFault fault : setting.faults) {
            for (int member : fault.members()) {
                if (fault.kind() == SimulatedFault.Kind.PAUSED) {
                    events.schedule(
                            fault.toMs(),
                            () -> {
                                List<Runnable> late = List.copyOf(later.get(member));
                                later.get(member).clear();
                                late.forEach(what -> act(member, what));
                            });
                } else if (fault.kind() == SimulatedFault.Kind.DEAD) {
                    events.schedule(
                            fault.toMs(),
                            () -> {
                                members.set(member, detector(member));
                                believed.set(member, Set.of());
                            });
                }
            }
        }
        events.runUntil(setting.lengthMs);
        return result();
    }

    private void tick(int member) {
        act(
                member,
                () -> members.get(member).tick(events.nowMs()).forEach(out -> send(member, out)));
        events.schedule(events.nowMs() + members.get(member).tickMs(), () -> tick(member));
    }

    private void send(int from, FailureDetector.Outgoing out) {
        messages++;
        int to = Integer.parseInt(out.to().substring(1));
        for (int copies = setting.network.doubles(random) ? 2 : 1; copies > 0; copies--) {
            boolean lost = setting.network.loses(random);
            double left = events.nowMs();
            double way = setting.network.way(random);
            if (!lost) {
                events.schedule(
                        events.nowMs() + way,
                        () -> {
                            if (setting.faults.stream()
                                    .noneMatch(
                                            one ->
                                                    one.cuts(from, to, left)
                                                            || one.cuts(
                                                                    from, to, events.nowMs()))) {
                                act(
                                        to,
                                        () ->
                                                members.get(to)
                                                        .receive(
                                                                events.nowMs(),
                                                                name(from),
                                                                out.message())
                                                        .forEach(more -> send(to, more)));
                            }
                        });
            }
        }
    }

    /** Notes whom a member holds to be there no more. */
    private void believe(int member) {
        Set<String> there = members.get(member).alive();
        for (String gone : believed.get(member)) {
            if (!there.contains(gone)) {
                int other = Integer.parseInt(gone.substring(1));
                if (is(SimulatedFault.Kind.DEAD, other)) {
                    knownBy.computeIfAbsent(other, none -> new TreeMap<>())
                            .merge(events.nowMs(), 1, Integer::sum);
                } else if (!excused(member) && !excused(other)) {
                    falselyDead++;
                }
            }
        }
        believed.set(member, there);
    }

    /**
     * Whether something befalls it, or did not long ago: longer than a suspicion takes and the news
     * of it.
     */
    private boolean excused(int member) {
        return setting.faults.stream()
                .anyMatch(
                        one ->
                                events.nowMs() >= one.fromMs()
                                        && events.nowMs() < one.toMs() + 60_000
                                        && (one.members().contains(member)
                                                || one.kind() == SimulatedFault.Kind.CUT_OFF));
    }

    private Result result() {
        var first = new ArrayList<Double>();
        var all = new ArrayList<Double>();
        for (SimulatedFault fault : setting.faults) {
            if (fault.kind() != SimulatedFault.Kind.DEAD) {
                continue;
            }
            for (int dead : fault.members()) {
                TreeMap<Double, Integer> by = knownBy.getOrDefault(dead, new TreeMap<>());
                first.add(by.isEmpty() ? Double.NaN : by.firstKey() - fault.fromMs());
                int up = setting.members - fault.members().size();
                all.add(
                        by.values().stream().mapToInt(count -> count).sum() < up
                                ? Double.NaN
                                : by.lastKey() - fault.fromMs());
            }
        }
        long wrong = 0;
        for (int i = 0; i < setting.members; i++) {
            for (int j = 0; j < setting.members; j++) {
                if (i != j
                        && !is(SimulatedFault.Kind.DEAD, i)
                        && !is(SimulatedFault.Kind.DEAD, j)
                        && !members.get(i).alive().contains(name(j))) {
                    wrong++;
                }
            }
        }
        return new Result(
                median(first),
                median(all),
                falselyDead,
                wrong,
                messages / (double) setting.members / setting.lengthMs * 1000);
    }

    private static double median(List<Double> values) {
        List<Double> sorted = values.stream().sorted().toList();
        return sorted.isEmpty() ? Double.NaN : sorted.get(sorted.size() / 2);
    }
}
