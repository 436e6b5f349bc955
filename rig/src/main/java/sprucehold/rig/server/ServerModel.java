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
 * One shard server: parts wait in one queue for its cores, a cold one is slower, and one that is
 * pushed while cold falls over. Times are milliseconds of the run's clock.
 */
public final class ServerModel {
    /**
     * A part that has arrived.
     *
     * @param link the connection that it came on, compared by identity
     * @param patienceMs how long its gatherer waits
     */
    public record Arrival(
            Object link,
            String gatherer,
            String partId,
            String scan,
            int segment,
            String tableType,
            double patienceMs) {}

    /** What comes of parts. */
    public sealed interface Act {
        /**
         * @param end as the protocol words it: {@code hit}, {@code fault} or {@code overload}
         */
        record Reply(Arrival to, String end, String value) implements Act {}

        /** Its effect has happened. */
        record Ran(double atMs, Arrival part, String value) implements Act {}

        /** The answer is lost, and its connection with it where {@code reset}. */
        record Lost(Arrival part, boolean reset) implements Act {}

        /**
         * It was pushed over by so much work, in milliseconds on one core, of each gatherer within
         * the rule's window.
         */
        record FellOver(double atMs, Map<String, Double> workByGatherer) implements Act {}
    }

    private record Running(Arrival part, double endsMs) {}

    private record Push(double atMs, String gatherer, double workMs) {}

    private final String name;
    private final Script script;
    private final Map<String, Script.Kind> kinds = new HashMap<>();
    private final long seed;
    private final ArrayDeque<Arrival> queue = new ArrayDeque<>();
    private final Map<Arrival, Double> arrivedMs = new HashMap<>();
    private final PriorityQueue<Running> running =
            new PriorityQueue<>(Comparator.comparingDouble(Running::endsMs));
    private final Set<Arrival> givenUp = new HashSet<>();
    private final ArrayDeque<Push> pushes = new ArrayDeque<>();
    private final List<Plan.TargetedFault> faults = new ArrayList<>();
    private double startedMs;
    private double stalledMs = Double.NaN;
    private boolean fallen;
    private double mostPushed;

    /**
     * @param startedMs when it started, 0 for long ago
     */
    public ServerModel(String name, Script script, long seed, double startedMs) {
        this.name = name;
        this.script = script;
        this.seed = seed;
        this.startedMs = startedMs;
        script.tableTypes().forEach(kind -> kinds.put(kind.type().name(), kind));
    }

    /** The share of its work that it can do: less than 1 while cold. */
    public double warmth(double nowMs) {
        Deployment.SlowStartRule rule = script.coldRule();
        double passed = Math.min(1, Math.max(0, nowMs - startedMs) / rule.warmAfterMs());
        return startedMs <= 0 ? 1 : rule.startShare() + (1 - rule.startShare()) * passed;
    }

    /** A fault begins or ends. */
    public List<Act> change(double nowMs, boolean begins, Plan.TargetedFault fault) {
        if (begins) {
            faults.add(fault);
        } else {
            faults.remove(fault);
        }
        boolean stalls = any(Fault.Kind.STALL);
        if (stalls && Double.isNaN(stalledMs)) {
            stalledMs = nowMs;
        } else if (!stalls && !Double.isNaN(stalledMs)) {
            List<Running> late = List.copyOf(running);
            running.clear();
            late.forEach(run -> running.add(new Running(run.part, run.endsMs + nowMs - stalledMs)));
            stalledMs = Double.NaN;
        }
        return pass(nowMs);
    }

    private boolean any(Fault.Kind kind) {
        return faults.stream().anyMatch(fault -> fault.fault().kind() == kind);
    }

    public List<Act> arrives(double nowMs, Arrival part) {
        if (fallen) {
            return List.of();
        }
        var acts = new ArrayList<Act>(pass(nowMs));
        if (faults.stream()
                .anyMatch(
                        fault ->
                                fault.fault().kind() == Fault.Kind.GREY
                                        && (fault.to().contains(part.gatherer)
                                                || fault.fault()
                                                        .tableTypes()
                                                        .contains(part.tableType)))) {
            return acts;
        }
        int waiting = queue.size();
        if (any(Fault.Kind.FULL)
                || any(Fault.Kind.DRAIN)
                || waiting >= script.servers().queueMost()) {
            acts.add(new Act.Reply(part, "overload", ""));
            return acts;
        }
        double warmth = warmth(nowMs);
        if (warmth < 1) {
            pushes.add(new Push(nowMs, part.gatherer, workMs(part)));
            Deployment.SlowStartRule rule = script.coldRule();
            pushes.removeIf(push -> push.atMs < nowMs - rule.windowMs());
            double pushed = pushes.stream().mapToDouble(Push::workMs).sum();
            double most =
                    rule.overloadFactor() * warmth * script.servers().cores() * rule.windowMs();
            mostPushed = Math.max(mostPushed, pushed / most);
            if (pushed > most) {
                var by = new TreeMap<String, Double>();
                pushes.forEach(push -> by.merge(push.gatherer, push.workMs, Double::sum));
                dies();
                acts.add(new Act.FellOver(nowMs, by));
                return acts;
            }
        }
        queue.add(part);
        arrivedMs.put(part, nowMs);
        acts.addAll(pass(nowMs));
        return acts;
    }

    /** A gatherer waits no more: what has not begun never will, what runs goes on. */
    public void gaveUp(Object link, String partId) {
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

    /** A connection is over, and all that came on it is given up. */
    public void closed(Object link) {
        queue.removeIf(part -> part.link == link && arrivedMs.remove(part) != null);
        running.stream().map(Running::part).filter(part -> part.link == link).forEach(givenUp::add);
    }

    /** All that it holds is lost; what has not ended by now never ran. */
    public void dies() {
        fallen = true;
        queue.clear();
        running.clear();
        arrivedMs.clear();
        givenUp.clear();
    }

    /** What has come of its parts by now. */
    public List<Act> pass(double nowMs) {
        var acts = new ArrayList<Act>();
        if (fallen || !Double.isNaN(stalledMs)) {
            return acts;
        }
        double at = nowMs;
        while (true) {
            while (!queue.isEmpty() && running.size() < script.servers().cores()) {
                begin(at, queue.poll(), acts);
            }
            if (running.isEmpty() || running.peek().endsMs > nowMs) {
                return acts;
            }
            Running ended = running.poll();
            at = ended.endsMs;
            ended(ended, acts);
        }
    }

    private void begin(double nowMs, Arrival part, List<Act> acts) {
        double arrived = arrivedMs.remove(part);
        if (nowMs - arrived > part.patienceMs) {
            acts.add(new Act.Reply(part, "overload", ""));
            return;
        }
        double slower =
                faults.stream()
                        .filter(fault -> fault.fault().kind() == Fault.Kind.SLOW)
                        .mapToDouble(fault -> fault.fault().amount())
                        .reduce(1, (a, b) -> a * b);
        running.add(new Running(part, nowMs + workMs(part) * slower / warmth(nowMs)));
    }

    private void ended(Running run, List<Act> acts) {
        Arrival part = run.part;
        String value = value(part);
        acts.add(new Act.Ran(run.endsMs, part, value));
        if (givenUp.remove(part)) {
            return;
        }
        for (Plan.TargetedFault fault : faults) {
            if (fault.fault().kind() == Fault.Kind.LOSE_ANSWERS
                    && chance(part, 2).nextDouble() < fault.fault().amount()) {
                acts.add(new Act.Lost(part, fault.fault().mode() == Fault.Mode.RESET));
                return;
            }
        }
        acts.add(new Act.Reply(part, "hit", value));
    }

    private UniformRandomProvider chance(Arrival part, int what) {
        return RandomSource.SPLIT_MIX_64.create(
                seed * 31 + part.partId.hashCode() * 0x9E3779B97F4A7C15L + what);
    }

    /** A part's work on a warm core; the same whenever it comes here. */
    private double workMs(Arrival part) {
        Script.Kind kind = kinds.get(part.tableType);
        return kind == null
                ? 1
                : kind.workMs()
                        * Math.exp(
                                kind.spread()
                                        * ZigguratSampler.NormalizedGaussian.of(chance(part, 1))
                                                .sample());
    }

    /** What only this server makes of this part, so that a wrong value is known. */
    private String value(Arrival part) {
        return Long.toHexString(chance(part, 3).nextLong()) + ":" + name + ":" + part.segment;
    }

    /** When something ends next; infinite if nothing is under way. */
    public double nextMs() {
        return running.isEmpty() || !Double.isNaN(stalledMs)
                ? Double.POSITIVE_INFINITY
                : running.peek().endsMs;
    }

    /** The most that it was pushed while cold, as a share of what pushes it over. */
    public double mostPushed() {
        return mostPushed;
    }

    /** Parts that wait or run. */
    public int held() {
        return queue.size() + running.size();
    }
}
