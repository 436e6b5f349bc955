package sprucehold.standin.rules;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import sprucehold.decision.Deployment;
import sprucehold.decision.Endpoint;
import sprucehold.decision.QueryClass;
import sprucehold.standin.ledger.Seen;

/** Reads a run's ledger once, in order of time, and tells every breach of a rule. */
public final class RuleChecker {
    private final Terms terms;
    private final List<Broken> broken = new ArrayList<>();
    private final Map<String, Scan> scans = new HashMap<>();
    private final Map<String, Double> drainsSince = new HashMap<>();
    private final Map<String, Budget> budgets = new HashMap<>();

    /** Further dispatches of all gatherers, by when they arrived. */
    private final ArrayDeque<Double> fleetFurther = new ArrayDeque<>();

    private final Map<String, List<Seen.HeldUp>> heldUp = new HashMap<>();

    private static final class Scan {
        final Seen.Asked asked;
        final QueryClass type;
        Seen.Answered answered;
        double leftMs = Double.POSITIVE_INFINITY;
        final Map<Integer, List<Double>> arrived = new HashMap<>();
        final Map<Integer, List<Seen.Ran>> ran = new HashMap<>();

        Scan(Seen.Asked asked, QueryClass type) {
            this.asked = asked;
            this.type = type;
        }

        double overMs() {
            return Math.min(answered == null ? Double.POSITIVE_INFINITY : answered.atMs(), leftMs);
        }
    }

    private static final class Budget {
        final ArrayDeque<Double> taken = new ArrayDeque<>();
        final ArrayDeque<Double> further = new ArrayDeque<>();
    }

    private RuleChecker(Terms terms) {
        this.terms = terms;
    }

    /**
     * @param inOrder all that was seen, by time
     * @param endMs when the run ended: scans whose time is over by then must have an answer
     */
    public static List<Broken> check(Terms terms, List<Seen> inOrder, double endMs) {
        var checker = new RuleChecker(terms);
        inOrder.stream()
                .filter(Seen.HeldUp.class::isInstance)
                .map(Seen.HeldUp.class::cast)
                .forEach(
                        held ->
                                checker.heldUp
                                        .computeIfAbsent(held.gatherer(), name -> new ArrayList<>())
                                        .add(held));
        inOrder.forEach(checker::see);
        checker.end(endMs);
        return List.copyOf(checker.broken);
    }

    private void broken(Rule rule, double atMs, String what) {
        broken.add(new Broken(rule, atMs, what));
    }

    private void see(Seen seen) {
        if (seen instanceof Seen.Asked asked) {
            scans.put(asked.scan(), new Scan(asked, terms.types().get(asked.tableType())));
            budgets.computeIfAbsent(asked.gatherer(), name -> new Budget()).taken.add(asked.atMs());
        } else if (seen instanceof Seen.Answered answered) {
            answered(answered);
        } else if (seen instanceof Seen.Left left) {
            Scan scan = scans.get(left.scan());
            if (scan != null) {
                scan.leftMs = left.atMs();
            }
        } else if (seen instanceof Seen.Arrived arrived) {
            arrived(arrived);
        } else if (seen instanceof Seen.Ran ran) {
            ran(ran);
        } else if (seen instanceof Seen.FellOver fell) {
            broken(
                    Rule.COLD,
                    fell.atMs(),
                    fell.server()
                            + " was pushed over"
                            + (fell.workByGatherer().isEmpty()
                                    ? ""
                                    : " by the sum of what each sent, in ms of work: "
                                            + fell.workByGatherer()));
        } else if (seen instanceof Seen.Told told) {
            String key = told.gatherer() + " " + told.server();
            if (told.mode() == Endpoint.State.RUNNING) {
                drainsSince.remove(key);
            } else {
                drainsSince.putIfAbsent(key, told.atMs());
            }
        }
    }

    private void answered(Seen.Answered answered) {
        Scan scan = scans.get(answered.scan());
        if (scan == null) {
            broken(
                    Rule.ONE_ANSWER,
                    answered.atMs(),
                    "an answer to scan " + answered.scan() + ", which nobody asked");
            return;
        }
        if (scan.answered != null) {
            broken(Rule.ONE_ANSWER, answered.atMs(), "a second answer to scan " + answered.scan());
            return;
        }
        scan.answered = answered;
        if (answered.answer() == Seen.Answer.CLOSED) {
            if (!killed(scan, answered.atMs())) {
                broken(
                        Rule.ONE_ANSWER,
                        answered.atMs(),
                        "scan " + answered.scan() + " was closed without an answer");
            }
        } else if (answered.atMs() > dueMs(scan) && !killed(scan, answered.atMs())) {
            broken(
                    Rule.ONE_ANSWER,
                    answered.atMs(),
                    "scan "
                            + answered.scan()
                            + " was answered "
                            + (answered.atMs() - scan.asked.atMs())
                            + " ms after it was asked, its client waited "
                            + scan.asked.timeLeftMs());
        }
        if (answered.answer() == Seen.Answer.COMPLETED) {
            honest(scan, answered);
        }
    }

    private void honest(Scan scan, Seen.Answered answered) {
        double weight = 0;
        for (Map.Entry<Integer, String> value : answered.values().entrySet()) {
            Double of = scan.asked.weights().get(value.getKey());
            if (of == null) {
                broken(
                        Rule.HONEST,
                        answered.atMs(),
                        "scan "
                                + answered.scan()
                                + " has segment "
                                + value.getKey()
                                + ", for which nobody asked");
                continue;
            }
            weight += of;
            List<Seen.Ran> ran = scan.ran.getOrDefault(value.getKey(), List.of());
            if (ran.stream().noneMatch(one -> one.value().equals(value.getValue()))) {
                broken(
                        Rule.HONEST,
                        answered.atMs(),
                        "scan "
                                + answered.scan()
                                + ", segment "
                                + value.getKey()
                                + ": no shard server made its value");
            }
        }
        // Sums of weights may fall a ten-thousandth short.
        if (weight < scan.type.minimumCoverage() - 1e-4) {
            broken(
                    Rule.HONEST,
                    answered.atMs(),
                    "scan "
                            + answered.scan()
                            + " was answered with "
                            + weight
                            + ", under the least share "
                            + scan.type.minimumCoverage());
        } else if (answered.whole() && weight < scan.type.completeCoverage() - 1e-4) {
            broken(
                    Rule.HONEST,
                    answered.atMs(),
                    "scan "
                            + answered.scan()
                            + " is called whole with "
                            + weight
                            + " of "
                            + scan.type.completeCoverage());
        }
    }

    /**
     * Whether a scan's gatherer was killed at some moment between its begin and its end: what it
     * held is no longer its duty.
     */
    private boolean killed(Scan scan, double endMs) {
        return heldUp.getOrDefault(scan.asked.gatherer(), List.of()).stream()
                .anyMatch(
                        held ->
                                held.killed()
                                        && held.atMs() <= endMs
                                        && held.untilMs() >= scan.asked.atMs());
    }

    /**
     * Until when a scan has to be answered. A gatherer that is paused at that moment can't answer
     * before it goes on.
     */
    private double dueMs(Scan scan) {
        double due = scan.asked.atMs() + scan.asked.timeLeftMs();
        return terms.slackMs()
                + heldUp.getOrDefault(scan.asked.gatherer(), List.of()).stream()
                        .filter(
                                held ->
                                        held.atMs() <= due + terms.slackMs()
                                                && held.untilMs() >= due)
                        .mapToDouble(Seen.HeldUp::untilMs)
                        .reduce(due, Math::max);
    }

    private void arrived(Seen.Arrived arrived) {
        Scan scan = scans.get(arrived.scan());
        if (scan == null) {
            broken(
                    Rule.ONE_ANSWER,
                    arrived.atMs(),
                    "a part of scan " + arrived.scan() + ", which nobody asked");
            return;
        }
        // A pause moves none of these moments: what a gatherer does when it goes on, it does by
        // what has reached it until then.
        if (arrived.atMs() > scan.overMs() + terms.wayMs()) {
            broken(
                    Rule.ONE_ANSWER,
                    arrived.atMs(),
                    "a part of scan "
                            + arrived.scan()
                            + " came "
                            + (arrived.atMs() - scan.overMs())
                            + " ms after it was over");
        }
        double left = scan.asked.atMs() + scan.asked.timeLeftMs() - arrived.atMs();
        if (arrived.toldMs() > left + terms.toldMs() + terms.wayMs()) {
            broken(
                    Rule.ONE_ANSWER,
                    arrived.atMs(),
                    "a part of scan "
                            + arrived.scan()
                            + " was told "
                            + arrived.toldMs()
                            + " ms, its client had "
                            + left
                            + " left");
        }
        Double told = drainsSince.get(arrived.gatherer() + " " + arrived.server());
        if (told != null && arrived.atMs() > told + terms.graceMs() + terms.wayMs()) {
            broken(
                    Rule.DRAINS,
                    arrived.atMs(),
                    arrived.gatherer()
                            + " sent to "
                            + arrived.server()
                            + " "
                            + (arrived.atMs() - told)
                            + " ms after it was told of its drain");
        }
        List<Double> before =
                scan.arrived.computeIfAbsent(arrived.segment(), segment -> new ArrayList<>());
        if (!before.isEmpty()) {
            further(arrived, scan, before);
        }
        before.add(arrived.atMs());
    }

    private void further(Seen.Arrived arrived, Scan scan, List<Double> before) {
        boolean mayHaveRun = !scan.ran.getOrDefault(arrived.segment(), List.of()).isEmpty();
        if (scan.type.idempotence() == QueryClass.Idempotence.DEDUPLICATED
                && mayHaveRun
                && arrived.atMs()
                        > before.get(0) + scan.type.deduplicationWindowMs() + terms.wayMs()) {
            broken(
                    Rule.NO_EFFECT_TWICE,
                    arrived.atMs(),
                    "scan "
                            + arrived.scan()
                            + ", segment "
                            + arrived.segment()
                            + " went again "
                            + (arrived.atMs() - before.get(0))
                            + " ms after its first, beyond its window");
        }
        if (terms.fleet() != null) {
            // Two that were sent a window apart may arrive closer by what either was on its way.
            fleetFurther.add(arrived.atMs());
            fleetFurther.removeIf(
                    at -> at <= arrived.atMs() - terms.fleet().windowMs() + terms.wayMs());
            if (fleetFurther.size() > terms.fleet().further()) {
                broken(
                        Rule.BUDGET,
                        arrived.atMs(),
                        "all gatherers together sent "
                                + fleetFurther.size()
                                + " further dispatches in "
                                + terms.fleet().windowMs()
                                + " ms, "
                                + terms.fleet().further()
                                + " are allowed");
            }
        }
        Deployment.RetryBudget budget = terms.budget();
        Budget of = budgets.computeIfAbsent(arrived.gatherer(), name -> new Budget());
        of.further.add(arrived.atMs());
        if (!budget.equals(Deployment.RetryBudget.NONE)) {
            of.taken.removeIf(at -> at < arrived.atMs() - budget.windowMs() - terms.wayMs());
            of.further.removeIf(at -> at < arrived.atMs() - budget.windowMs());
            if (of.further.size() > budget.fixed() + budget.perRequest() * of.taken.size() + 1e-9) {
                broken(
                        Rule.BUDGET,
                        arrived.atMs(),
                        arrived.gatherer()
                                + " sent "
                                + of.further.size()
                                + " further dispatches for "
                                + of.taken.size()
                                + " scans");
            }
        }
    }

    private void ran(Seen.Ran ran) {
        Scan scan = scans.get(ran.scan());
        if (scan == null) {
            return;
        }
        List<Seen.Ran> before =
                scan.ran.computeIfAbsent(ran.segment(), segment -> new ArrayList<>());
        if (!before.isEmpty() && scan.type.idempotence() == QueryClass.Idempotence.NON_IDEMPOTENT) {
            broken(
                    Rule.NO_EFFECT_TWICE,
                    ran.atMs(),
                    "scan "
                            + ran.scan()
                            + ", segment "
                            + ran.segment()
                            + " ran at "
                            + before.get(0).server()
                            + " and at "
                            + ran.server());
        }
        before.add(ran);
    }

    private void end(double endMs) {
        Set<String> told = new HashSet<>();
        for (Scan scan : scans.values()) {
            double due = scan.asked.atMs() + scan.asked.timeLeftMs() + terms.slackMs();
            boolean heldThen = dueMs(scan) > due;
            if (scan.answered == null
                    && scan.leftMs > due
                    && due <= endMs
                    && !heldThen
                    && !killed(scan, due)
                    && told.add(scan.asked.scan())) {
                broken(Rule.ONE_ANSWER, due, "scan " + scan.asked.scan() + " had no answer");
            }
            // Judged at the end: what it may have run may run yet when it is throttled.
            if (scan.answered != null
                    && scan.answered.answer() == Seen.Answer.THROTTLED
                    && scan.type.idempotence() == QueryClass.Idempotence.NON_IDEMPOTENT
                    && !scan.ran.isEmpty()) {
                broken(
                        Rule.NO_EFFECT_TWICE,
                        scan.answered.atMs(),
                        "scan "
                                + scan.asked.scan()
                                + " was throttled though a part of it ran: asked again it runs twice");
            }
        }
    }
}
