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
 * Simulates the membership of a fleet in simulated time. Measures how soon all members detect a
 * death, and which members are wrongly considered dead.
 */
public final class MembershipSimulation {
    /** Algorithms of failure detection. */
    public enum Way {
        HEARTBEATS_TO_ALL,
        SWIM_WITHOUT_SUSPICION,
        SWIM,
        PHI_GOSSIP
    }

    /**
     * Settings of a simulation.
     *
     * @param faults faults during the simulation. A fault of kind {@link SimulatedFault.Kind#DEAD}
     *     is a death that must be detected; a member with a fault of another kind is not dead
     */
    public record Setting(
            int members, double lengthMs, Network network, List<SimulatedFault> faults) {}

    /**
     * Result of a simulation.
     *
     * @param firstMs median over all deaths of the time from a death to its detection by the first
     *     of those alive; NaN where none detected it
     * @param allMs median over all deaths of the time from a death to its detection by the last of
     *     those alive; NaN where not all detected it
     * @param falselyDead number of times that a member considered another dead although neither had
     *     a fault
     * @param wrongAtEnd number of pairs of running members of which the first considers the second
     *     dead at the end
     * @param messages messages per member and second
     */
    public record Result(
            double firstMs, double allMs, long falselyDead, long wrongAtEnd, double messages) {}

    private final Setting setting;
    private final Way way;
    private final Random random;
    private final EventQueue events = new EventQueue();
    private final List<FailureDetector> members = new ArrayList<>();
    private final List<List<Runnable>> deferred = new ArrayList<>();
    private final List<Set<String>> lastAlive = new ArrayList<>();
    private final Map<Integer, TreeMap<Double, Integer>> detections = new HashMap<>();

    /**
     * Interval between two checks of a member's view, in milliseconds; the resolution of the
     * detection times. Comparing a thousand views takes longer than computing them.
     */
    private final double checkIntervalMs;

    private final double[] checkedAtMs;
    private long messages;
    private long falselyDead;

    private MembershipSimulation(Setting setting, Way way, long seed) {
        this.setting = setting;
        this.way = way;
        this.random = new Random(seed);
        this.checkIntervalMs = setting.members > 200 ? 1000 : 200;
        this.checkedAtMs = new double[setting.members];
    }

    /** Runs a simulation. The result is the same for the same seed. */
    public static Result run(Setting setting, Way way, long seed) {
        return new MembershipSimulation(setting, way, seed).run();
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
                all.forEach(other -> seeds.put(other, "a"));
                // All members know of each other, as in a fleet that started long ago.
                yield new Membership(
                        name(member), "a", 1 + (long) events.nowMs(), seeds, own, way == Way.SWIM);
            }
        };
    }

    private boolean hasFault(SimulatedFault.Kind kind, int member) {
        return setting.faults.stream()
                .anyMatch(
                        fault ->
                                fault.kind() == kind
                                        && fault.members().contains(member)
                                        && fault.isActiveAt(events.nowMs()));
    }

    private void runWhenUp(int member, Runnable action) {
        if (hasFault(SimulatedFault.Kind.PAUSED, member)) {
            deferred.get(member).add(action);
        } else if (!hasFault(SimulatedFault.Kind.DEAD, member)) {
            action.run();
            if (events.nowMs() - checkedAtMs[member] >= checkIntervalMs) {
                checkedAtMs[member] = events.nowMs();
                recordDetections(member);
            }
        }
    }

    private Result run() {
        for (int i = 0; i < setting.members; i++) {
            int member = i;
            members.add(detector(i));
            deferred.add(new ArrayList<>());
            lastAlive.add(Set.of());
            events.schedule(random.nextDouble() * members.get(i).tickMs(), () -> tick(member));
        }
        for (SimulatedFault fault : setting.faults) {
            for (int member : fault.members()) {
                if (fault.kind() == SimulatedFault.Kind.PAUSED) {
                    events.schedule(
                            fault.toMs(),
                            () -> {
                                List<Runnable> actions = List.copyOf(deferred.get(member));
                                deferred.get(member).clear();
                                actions.forEach(action -> runWhenUp(member, action));
                            });
                } else if (fault.kind() == SimulatedFault.Kind.DEAD) {
                    events.schedule(
                            fault.toMs(),
                            () -> {
                                members.set(member, detector(member));
                                lastAlive.set(member, Set.of());
                            });
                }
            }
        }
        events.runUntil(setting.lengthMs);
        return result();
    }

    private void tick(int member) {
        runWhenUp(
                member,
                () -> members.get(member).tick(events.nowMs()).forEach(out -> send(member, out)));
        events.schedule(events.nowMs() + members.get(member).tickMs(), () -> tick(member));
    }

    private void send(int from, FailureDetector.Outgoing out) {
        messages++;
        int to = Integer.parseInt(out.to().substring(1));
        for (int copies = setting.network.isDuplicated(random) ? 2 : 1; copies > 0; copies--) {
            boolean lost = setting.network.isLost(random);
            double sentMs = events.nowMs();
            double delayMs = setting.network.drawDelayMs(random);
            if (!lost) {
                events.schedule(
                        events.nowMs() + delayMs,
                        () -> {
                            if (setting.faults.stream()
                                    .noneMatch(
                                            fault ->
                                                    fault.cuts(from, to, sentMs)
                                                            || fault.cuts(
                                                                    from, to, events.nowMs()))) {
                                runWhenUp(
                                        to,
                                        () ->
                                                members.get(to)
                                                        .receive(
                                                                events.nowMs(),
                                                                name(from),
                                                                out.message())
                                                        .forEach(reply -> send(to, reply)));
                            }
                        });
            }
        }
    }

    /** Records which members a member no longer considers alive. */
    private void recordDetections(int member) {
        Set<String> alive = members.get(member).alive();
        for (String gone : lastAlive.get(member)) {
            if (!alive.contains(gone)) {
                int other = Integer.parseInt(gone.substring(1));
                if (hasFault(SimulatedFault.Kind.DEAD, other)) {
                    detections
                            .computeIfAbsent(other, none -> new TreeMap<>())
                            .merge(events.nowMs(), 1, Integer::sum);
                } else if (!hasRecentFault(member) && !hasRecentFault(other)) {
                    falselyDead++;
                }
            }
        }
        lastAlive.set(member, alive);
    }

    /**
     * Whether a member has a fault or had one less than 60 seconds ago; a cut-off counts as a fault
     * of all members. Sixty seconds are longer than a suspicion and its dissemination take.
     */
    private boolean hasRecentFault(int member) {
        return setting.faults.stream()
                .anyMatch(
                        fault ->
                                events.nowMs() >= fault.fromMs()
                                        && events.nowMs() < fault.toMs() + 60_000
                                        && (fault.members().contains(member)
                                                || fault.kind() == SimulatedFault.Kind.CUT_OFF));
    }

    private Result result() {
        var first = new ArrayList<Double>();
        var all = new ArrayList<Double>();
        for (SimulatedFault fault : setting.faults) {
            if (fault.kind() != SimulatedFault.Kind.DEAD) {
                continue;
            }
            for (int dead : fault.members()) {
                TreeMap<Double, Integer> by = detections.getOrDefault(dead, new TreeMap<>());
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
                        && !hasFault(SimulatedFault.Kind.DEAD, i)
                        && !hasFault(SimulatedFault.Kind.DEAD, j)
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
