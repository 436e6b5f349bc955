package sprucehold.standin.rules;

import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import sprucehold.decision.Deployment;
import sprucehold.decision.Endpoint;
import sprucehold.decision.QueryClass;
import sprucehold.standin.ledger.Ledger;
import sprucehold.standin.ledger.Seen;

/** Checks runs that comply with all rules, and runs that violate one rule each. */
public class RuleCheckerTest {
    private static final RuleSettings TERMS =
            new RuleSettings(
                    Map.of(
                            "any",
                                    new QueryClass(
                                            "any",
                                            QueryClass.Idempotence.IDEMPOTENT,
                                            500,
                                            1,
                                            0,
                                            0,
                                            0.75,
                                            0.5,
                                            0),
                            "once",
                                    new QueryClass(
                                            "once",
                                            QueryClass.Idempotence.NON_IDEMPOTENT,
                                            500,
                                            1,
                                            0,
                                            0,
                                            1,
                                            1,
                                            0),
                            "keyed",
                                    new QueryClass(
                                            "keyed",
                                            QueryClass.Idempotence.DEDUPLICATED,
                                            500,
                                            1,
                                            0,
                                            300,
                                            1,
                                            1,
                                            0)),
                    new Deployment.RetryBudget(2, 0.5, 1000),
                    100,
                    50,
                    20,
                    30);

    private static Seen.Asked asked(String queryClass, double at) {
        return new Seen.Asked(at, "g", "s", queryClass, 1000, Map.of(1, 0.5, 2, 0.5));
    }

    private static Seen.Arrived arrived(double at, String server, int segment) {
        return new Seen.Arrived(at, "g", server, "s", segment, 500);
    }

    private static Seen.Arrived arrivedWithTimeout(double at, double timeoutMs) {
        return new Seen.Arrived(at, "g", "a", "s", 1, timeoutMs);
    }

    private static Seen.Ran ran(double at, String server, int segment) {
        return new Seen.Ran(at, server, "s", segment, "v" + segment);
    }

    private static Seen.Answered completed(double at, boolean whole, Map<Integer, String> values) {
        return new Seen.Answered(at, "s", Seen.Answer.COMPLETED, whole, values);
    }

    private static Seen.Answered ended(double at, Seen.Answer answer) {
        return new Seen.Answered(at, "s", answer, false, Map.of());
    }

    private static Seen.Told endpointUpdate(double at, Endpoint.State state) {
        return new Seen.Told(at, "g", "a", state);
    }

    private static final Map<Integer, String> BOTH = Map.of(1, "v1", 2, "v2");

    private static List<Seen> run(String queryClass, Seen... further) {
        var run = new ArrayList<Seen>(List.of(asked(queryClass, 0)));
        run.addAll(List.of(further));
        return run;
    }

    @DataProvider
    Object[][] runs() {
        return new Object[][] {
            // description, run, violated rules
            {
                "a complete answer",
                run(
                        "any",
                        arrived(1, "a", 1),
                        arrived(1, "b", 2),
                        ran(5, "a", 1),
                        ran(5, "b", 2),
                        completed(9, true, BOTH)),
                List.of()
            },
            {
                "a partial answer that is marked as partial",
                run(
                        "any",
                        arrived(1, "a", 1),
                        ran(5, "a", 1),
                        completed(9, false, Map.of(1, "v1"))),
                List.of()
            },
            {
                "a client that disconnected",
                run("any", arrived(1, "a", 1), new Seen.Left(3, "s")),
                List.of()
            },
            {"no answer", run("any", arrived(1, "a", 1)), List.of(Rule.ONE_ANSWER)},
            {
                "two answers",
                run("any", ended(5, Seen.Answer.THROTTLED), ended(6, Seen.Answer.THROTTLED)),
                List.of(Rule.ONE_ANSWER)
            },
            {
                "an answer after the tolerance",
                run("any", ended(1101, Seen.Answer.ABANDONED)),
                List.of(Rule.ONE_ANSWER)
            },
            {
                "an answer at the end of the tolerance",
                run("any", ended(1100, Seen.Answer.ABANDONED)),
                List.of()
            },
            {
                "a connection closed without an answer",
                run("any", ended(5, Seen.Answer.CLOSED)),
                List.of(Rule.ONE_ANSWER)
            },
            {
                "an attempt sent after the answer",
                run("any", ended(5, Seen.Answer.THROTTLED), arrived(26, "a", 1)),
                List.of(Rule.ONE_ANSWER)
            },
            {
                "an attempt in transit when the query was answered",
                run("any", ended(5, Seen.Answer.THROTTLED), arrived(24, "a", 1)),
                List.of()
            },
            {
                "an attempt sent after the client disconnected",
                run("any", new Seen.Left(3, "s"), arrived(30, "a", 1)),
                List.of(Rule.ONE_ANSWER)
            },
            {
                "an attempt sent after the client disconnected, when the gatherer resumed",
                run(
                        "any",
                        new Seen.Left(3, "s"),
                        new Seen.HeldUp(1, 29, "g", false),
                        arrived(30, "a", 1)),
                List.of(Rule.ONE_ANSWER)
            },
            {
                "a timeout at the end of the tolerance",
                run("any", arrivedWithTimeout(10, 1040), ended(20, Seen.Answer.ABANDONED)),
                List.of()
            },
            {
                "a timeout beyond the tolerance",
                run("any", arrivedWithTimeout(10, 1041), ended(20, Seen.Answer.ABANDONED)),
                List.of(Rule.ONE_ANSWER)
            },
            {
                "a connection closed without an answer after a pause",
                run("any", new Seen.HeldUp(3, 4, "g", false), ended(5, Seen.Answer.CLOSED)),
                List.of(Rule.ONE_ANSWER)
            },
            {
                "no answer although a pause ended in time",
                run("any", new Seen.HeldUp(3, 900, "g", false)),
                List.of(Rule.ONE_ANSWER)
            },
            {
                "an attempt to a draining server when the gatherer resumed",
                run(
                        "any",
                        endpointUpdate(1, Endpoint.State.DRAINING),
                        new Seen.HeldUp(1, 79, "g", false),
                        arrived(80, "a", 1),
                        ended(90, Seen.Answer.ABANDONED)),
                List.of(Rule.DRAINS)
            },
            {
                "a non-idempotent part that ran twice",
                run(
                        "once",
                        arrived(1, "a", 1),
                        ran(2, "a", 1),
                        arrived(3, "b", 1),
                        ran(4, "b", 1),
                        ended(9, Seen.Answer.ABANDONED)),
                List.of(Rule.NO_EFFECT_TWICE)
            },
            {
                "a retry of a non-idempotent part that never ran",
                run(
                        "once",
                        arrived(1, "a", 1),
                        arrived(3, "b", 1),
                        ran(4, "b", 1),
                        ended(9, Seen.Answer.ABANDONED)),
                List.of()
            },
            {
                "a rejected query whose non-idempotent part ran later",
                run("once", arrived(1, "a", 1), ended(9, Seen.Answer.THROTTLED), ran(500, "a", 1)),
                List.of(Rule.NO_EFFECT_TWICE)
            },
            {
                "a deduplicated part sent again after its window",
                run(
                        "keyed",
                        arrived(1, "a", 1),
                        ran(2, "a", 1),
                        arrived(330, "b", 1),
                        ended(400, Seen.Answer.ABANDONED)),
                List.of(Rule.NO_EFFECT_TWICE)
            },
            {
                "a deduplicated part sent again within its window",
                run(
                        "keyed",
                        arrived(1, "a", 1),
                        ran(2, "a", 1),
                        arrived(290, "b", 1),
                        ended(400, Seen.Answer.ABANDONED)),
                List.of()
            },
            {
                "an attempt to a draining server",
                run(
                        "any",
                        endpointUpdate(1, Endpoint.State.DRAINING),
                        arrived(80, "a", 1),
                        ended(90, Seen.Answer.ABANDONED)),
                List.of(Rule.DRAINS)
            },
            {
                "an attempt to a draining server within the grace period",
                run(
                        "any",
                        endpointUpdate(1, Endpoint.State.DRAINING),
                        arrived(60, "a", 1),
                        ended(90, Seen.Answer.ABANDONED)),
                List.of()
            },
            {
                "an attempt after two drain updates, the first of which counts",
                run(
                        "any",
                        endpointUpdate(1, Endpoint.State.DRAINING),
                        endpointUpdate(40, Endpoint.State.GONE),
                        arrived(80, "a", 1),
                        ended(90, Seen.Answer.ABANDONED)),
                List.of(Rule.DRAINS)
            },
            {
                "an attempt to a server that runs again",
                run(
                        "any",
                        endpointUpdate(1, Endpoint.State.GONE),
                        endpointUpdate(50, Endpoint.State.RUNNING),
                        arrived(80, "a", 1),
                        ended(90, Seen.Answer.ABANDONED)),
                List.of()
            },
            {
                "a warming server that crashed from overload",
                run("any", new Seen.FellOver(3, "a", Map.of()), ended(9, Seen.Answer.THROTTLED)),
                List.of(Rule.COLD)
            },
            {
                "an answer below the minimum coverage",
                run("any", completed(9, false, Map.of())),
                List.of(Rule.HONEST)
            },
            {
                "a partial answer that is marked as complete",
                run("any", arrived(1, "a", 1), ran(5, "a", 1), completed(9, true, Map.of(1, "v1"))),
                List.of(Rule.HONEST)
            },
            {
                "a value that no shard server returned",
                run("any", arrived(1, "a", 1), ran(5, "a", 1), completed(9, false, Map.of(1, "x"))),
                List.of(Rule.HONEST)
            },
            {
                "a shard that is not part of the query",
                run(
                        "any",
                        arrived(1, "a", 1),
                        ran(5, "a", 1),
                        completed(9, false, Map.of(1, "v1", 7, "v7"))),
                List.of(Rule.HONEST)
            },
            {
                "retries beyond the budget",
                run(
                        "any",
                        arrived(1, "a", 1),
                        arrived(2, "b", 1),
                        arrived(3, "c", 1),
                        arrived(4, "d", 1),
                        ended(9, Seen.Answer.ABANDONED)),
                List.of(Rule.BUDGET)
            },
            {
                "retries within the budget",
                run(
                        "any",
                        arrived(1, "a", 1),
                        arrived(2, "b", 1),
                        arrived(3, "c", 1),
                        ended(9, Seen.Answer.ABANDONED)),
                List.of()
            },
        };
    }

    @DataProvider
    Object[][] fleetRetries() {
        return new Object[][] {
            // arrival times in ms of retries of different gatherers, whether more than two of them
            // were sent within 100 ms if a message may be in transit for 20 ms
            {new double[] {10, 20}, false},
            {new double[] {10, 20, 30}, true},
            {new double[] {10, 20, 89}, true},
            {new double[] {10, 20, 91}, false},
            {new double[] {10, 50, 91, 131}, false},
        };
    }

    @Test(dataProvider = "fleetRetries")
    public void retriesOfAllGatherersCountAgainstTheFleetBudget(
            double[] arrivalsMs, boolean violated) {
        var terms =
                new RuleSettings(
                        TERMS.queryClasses(),
                        Deployment.RetryBudget.NONE,
                        new RuleSettings.FleetRetryBudget(2, 100),
                        100,
                        50,
                        20,
                        30);
        var run = new ArrayList<Seen>();
        for (int i = 0; i < arrivalsMs.length; i++) {
            run.add(new Seen.Asked(i / 10.0, "g" + i, "s" + i, "any", 1000, Map.of(1, 1.0)));
            run.add(new Seen.Arrived(1 + i / 10.0, "g" + i, "a", "s" + i, 1, 500));
        }
        for (int i = 0; i < arrivalsMs.length; i++) {
            run.add(new Seen.Arrived(arrivalsMs[i], "g" + i, "b", "s" + i, 1, 500));
        }
        for (int i = 0; i < arrivalsMs.length; i++) {
            run.add(new Seen.Answered(500, "s" + i, Seen.Answer.THROTTLED, false, Map.of()));
        }
        List<Rule> rules =
                RuleChecker.check(terms, run, 10_000).stream()
                        .map(Violation::rule)
                        .distinct()
                        .toList();
        assertEquals(rules, violated ? List.of(Rule.BUDGET) : List.of());
    }

    @Test(dataProvider = "runs")
    public void exactlyTheViolatedRulesAreReported(
            String description, List<Seen> run, List<Rule> rules) {
        List<Violation> violations = RuleChecker.check(TERMS, run, 10_000);
        assertEquals(
                violations.stream().map(Violation::rule).toList(), rules, violations.toString());
    }

    @Test
    public void queryStillOpenAtTheEndOfTheRunIsNoViolation() {
        assertEquals(RuleChecker.check(TERMS, run("any"), 1000), List.of());
    }

    @Test
    public void ledgerReturnsObservationsInOrderOfTime() {
        var ledger = new Ledger();
        ledger.add(ended(9, Seen.Answer.THROTTLED));
        ledger.add(asked("any", 0));
        assertEquals(ledger.sortedByTime().get(0), asked("any", 0));
    }
}
