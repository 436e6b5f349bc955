package sprucehold.rig.server;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.TreeMap;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;
import org.apache.commons.rng.simple.RandomSource;
import sprucehold.decision.Deployment;
import sprucehold.rig.plan.Plan;
import sprucehold.rig.script.Fault;
import sprucehold.rig.script.Script;

/**
 * One shard server. Parts wait in one queue for its cores. A cold server is slower, and crashes if
 * it is overloaded while cold. Times are in milliseconds of the run's clock.
 */
public final class ServerModel {
    /**
     * A part that has arrived.
     *
     * @param link the connection on which it arrived, compared by identity
     * @param patienceMs how long the gatherer waits for the answer, in milliseconds
     */
    public record Arrival(
            Object link,
            String gatherer,
            String partId,
            String scan,
            int segment,
            String tableType,
            double patienceMs) {}

    /**
     * An effect of a change of the model, which the caller applies to connections and the ledger.
     */
    public sealed interface Effect {
        /**
         * @param end result as the protocol writes it: {@code hit}, {@code fault} or {@code
         *     overload}
         */
        record Reply(Arrival to, String end, String value) implements Effect {}

        /** The part was executed. */
        record Ran(double atMs, Arrival part, String value) implements Effect {}

        /** The answer is lost. If {@code reset} is set, its connection is reset too. */
        record Lost(Arrival part, boolean reset) implements Effect {}

        /**
         * The server crashed from overload.
         *
         * @param workByGatherer work of the parts that arrived from each gatherer within the window
         *     of the cold-start rule, in milliseconds on one core
         */
        record FellOver(double atMs, Map<String, Double> workByGatherer) implements Effect {}
    }

    private record Running(Arrival part, double endsMs) {}

    private record ColdArrival(double atMs, String gatherer, double workMs) {}

    private final String name;
    private final Script script;
    private final Map<String, Script.Kind> kinds = new HashMap<>();
    private final long seed;
    private final ArrayDeque<Arrival> queue = new ArrayDeque<>();
    private final Map<Arrival, Double> arrivedMs = new HashMap<>();
    private final PriorityQueue<Running> running =
            new PriorityQueue<>(Comparator.comparingDouble(Running::endsMs));
    private final Set<Arrival> givenUp = new HashSet<>();
    private final ArrayDeque<ColdArrival> coldArrivals = new ArrayDeque<>();
    private final List<Plan.TargetedFault> faults = new ArrayList<>();
    private double startedMs;
    private double stalledMs = Double.NaN;
    private boolean crashed;
    private double peakColdLoad;

    /**
     * @param startedMs time of the start; 0 if the server started long ago
     */
    public ServerModel(String name, Script script, long seed, double startedMs) {
        this.name = name;
        this.script = script;
        this.seed = seed;
        this.startedMs = startedMs;
        script.tableTypes().forEach(kind -> kinds.put(kind.type().name(), kind));
    }

    /**
     * Returns the share of its full speed at which the server works: less than 1 while it is cold.
     */
    public double warmth(double nowMs) {
        Deployment.SlowStartRule rule = script.coldRule();
        double passed = Math.min(1, Math.max(0, nowMs - startedMs) / rule.warmAfterMs());
        return startedMs <= 0 ? 1 : rule.startShare() + (1 - rule.startShare()) * passed;
    }

    /** Starts or ends a fault, and returns the effects up to now. */
    public List<Effect> change(double nowMs, boolean begins, Plan.TargetedFault fault) {
        if (begins) {
            faults.add(fault);
        } else {
            faults.remove(fault);
        }
        boolean stalls = hasFault(Fault.Kind.STALL);
        if (stalls && Double.isNaN(stalledMs)) {
            stalledMs = nowMs;
        } else if (!stalls && !Double.isNaN(stalledMs)) {
            List<Running> delayed = List.copyOf(running);
            running.clear();
            delayed.forEach(
                    run -> running.add(new Running(run.part, run.endsMs + nowMs - stalledMs)));
            stalledMs = Double.NaN;
        }
        return advanceTo(nowMs);
    }

    private boolean hasFault(Fault.Kind kind) {
        return faults.stream().anyMatch(fault -> fault.fault().kind() == kind);
    }

    public List<Effect> arrive(double nowMs, Arrival part) {
        if (crashed) {
            return List.of();
        }
        var effects = new ArrayList<Effect>(advanceTo(nowMs));
        if (faults.stream()
                .anyMatch(
                        fault ->
                                fault.fault().kind() == Fault.Kind.GREY
                                        && (fault.to().contains(part.gatherer)
                                                || fault.fault()
                                                        .tableTypes()
                                                        .contains(part.tableType)))) {
            return effects;
        }
        int queued = queue.size();
        if (hasFault(Fault.Kind.FULL)
                || hasFault(Fault.Kind.DRAIN)
                || queued >= script.servers().queueMost()) {
            effects.add(new Effect.Reply(part, "overload", ""));
            return effects;
        }
        double warmth = warmth(nowMs);
        if (warmth < 1) {
            coldArrivals.add(new ColdArrival(nowMs, part.gatherer, workMs(part)));
            Deployment.SlowStartRule rule = script.coldRule();
            coldArrivals.removeIf(arrival -> arrival.atMs < nowMs - rule.windowMs());
            double loadMs = coldArrivals.stream().mapToDouble(ColdArrival::workMs).sum();
            double maxLoadMs =
                    rule.overloadFactor() * warmth * script.servers().cores() * rule.windowMs();
            peakColdLoad = Math.max(peakColdLoad, loadMs / maxLoadMs);
            if (loadMs > maxLoadMs) {
                var workByGatherer = new TreeMap<String, Double>();
                coldArrivals.forEach(
                        arrival ->
                                workByGatherer.merge(
                                        arrival.gatherer, arrival.workMs, Double::sum));
                crash();
                effects.add(new Effect.FellOver(nowMs, workByGatherer));
                return effects;
            }
        }
        queue.add(part);
        arrivedMs.put(part, nowMs);
        effects.addAll(advanceTo(nowMs));
        return effects;
    }

    /**
     * Cancels a part that its gatherer has given up. A part that has not begun never runs; one that
     * is running continues, and its answer is not sent.
     */
    public void cancel(Object link, String partId) {
        queue.removeIf(
                part ->
                        part.link == link
                                && part.partId.equals(partId)
                                && arrivedMs.remove(part) != null);
        running.stream()
                .map(Running::part)
                .filter(part -> part.link == link && part.partId.equals(partId))
                .forEach(givenUp::add);
    }

    /** Cancels all parts of a connection that has ended. */
    public void cancelAll(Object link) {
        queue.removeIf(part -> part.link == link && arrivedMs.remove(part) != null);
        running.stream().map(Running::part).filter(part -> part.link == link).forEach(givenUp::add);
    }

    /** Crashes the server. All its parts are lost, and one that has not ended by now never ran. */
    public void crash() {
        crashed = true;
        queue.clear();
        running.clear();
        arrivedMs.clear();
        givenUp.clear();
    }

    /** Runs the queued parts up to the given time, and returns the effects. */
    public List<Effect> advanceTo(double nowMs) {
        var effects = new ArrayList<Effect>();
        if (crashed || !Double.isNaN(stalledMs)) {
            return effects;
        }
        double beginMs = nowMs;
        while (true) {
            while (!queue.isEmpty() && running.size() < script.servers().cores()) {
                begin(beginMs, queue.poll(), effects);
            }
            if (running.isEmpty() || running.peek().endsMs > nowMs) {
                return effects;
            }
            Running ended = running.poll();
            beginMs = ended.endsMs;
            ended(ended, effects);
        }
    }

    private void begin(double nowMs, Arrival part, List<Effect> effects) {
        double arrived = arrivedMs.remove(part);
        if (nowMs - arrived > part.patienceMs) {
            effects.add(new Effect.Reply(part, "overload", ""));
            return;
        }
        double slowdown =
                faults.stream()
                        .filter(fault -> fault.fault().kind() == Fault.Kind.SLOW)
                        .mapToDouble(fault -> fault.fault().amount())
                        .reduce(1, (a, b) -> a * b);
        running.add(new Running(part, nowMs + workMs(part) * slowdown / warmth(nowMs)));
    }

    private void ended(Running run, List<Effect> effects) {
        Arrival part = run.part;
        String value = value(part);
        effects.add(new Effect.Ran(run.endsMs, part, value));
        if (givenUp.remove(part)) {
            return;
        }
        for (Plan.TargetedFault fault : faults) {
            if (fault.fault().kind() == Fault.Kind.LOSE_ANSWERS
                    && random(part, 2).nextDouble() < fault.fault().amount()) {
                effects.add(new Effect.Lost(part, fault.fault().mode() == Fault.Mode.RESET));
                return;
            }
        }
        effects.add(new Effect.Reply(part, "hit", value));
    }

    private UniformRandomProvider random(Arrival part, int purpose) {
        return RandomSource.SPLIT_MIX_64.create(
                seed * 31 + part.partId.hashCode() * 0x9E3779B97F4A7C15L + purpose);
    }

    /**
     * Returns the work of a part on a warm core, in milliseconds; the same each time the part
     * arrives at this server.
     */
    private double workMs(Arrival part) {
        Script.Kind kind = kinds.get(part.tableType);
        return kind == null
                ? 1
                : kind.workMs()
                        * Math.exp(
                                kind.spread()
                                        * ZigguratSampler.NormalizedGaussian.of(random(part, 1))
                                                .sample());
    }

    /**
     * Returns a value that only this server computes for this part, so that the checker recognises
     * a wrong value.
     */
    private String value(Arrival part) {
        return Long.toHexString(random(part, 3).nextLong()) + ":" + name + ":" + part.segment;
    }

    /** Returns the time at which the next part ends; infinite if none is running. */
    public double nextMs() {
        return running.isEmpty() || !Double.isNaN(stalledMs)
                ? Double.POSITIVE_INFINITY
                : running.peek().endsMs;
    }

    /** Returns the peak load while cold, as a share of the load at which the server crashes. */
    public double peakColdLoad() {
        return peakColdLoad;
    }

    /** Returns the number of parts that are queued or running. */
    public int pendingParts() {
        return queue.size() + running.size();
    }
}
