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

/** Runs that keep the rules, and runs that break each on purpose. */
public class RuleCheckerTest {
    private static final RuleTerms TERMS =
            new RuleTerms(
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

    private static Seen.Asked asked(String type, double at) {
        return new Seen.Asked(at, "g", "s", type, 1000, Map.of(1, 0.5, 2, 0.5));
    }

    private static Seen.Arrived arrived(double at, String server, int segment) {
        return new Seen.Arrived(at, "g", server, "s", segment, 500);
    }

    private static Seen.Arrived told(double at, double toldMs) {
        return new Seen.Arrived(at, "g", "a", "s", 1, toldMs);
    }

    private static Seen.Ran ran(double at, String server, int segment) {
        return new Seen.Ran(at, server, "s", segment, "v" + segment);
    }

    private static Seen.Answered completed(double at, boolean whole, Map<Integer, String> values) {
        return new Seen.Answered(at, "s", Seen.Answer.COMPLETED, whole, values);
    }

    private static Seen.Answered ended(double at, Seen.Answer how) {
        return new Seen.Answered(at, "s", how, false, Map.of());
    }

    private static Seen.Told told(double at, Endpoint.State mode) {
        return new Seen.Told(at, "g", "a", mode);
    }

    private static final Map<Integer, String> BOTH = Map.of(1, "v1", 2, "v2");

    private static List<Seen> run(String type, Seen... more) {
        var run = new ArrayList<Seen>(List.of(asked(type, 0)));
        run.addAll(List.of(more));
        return run;
    }

    @DataProvider
    Object[][] runs() {
        return new Object[][] {
            // what, run, rules broken
            {
                "a whole answer",
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
                "half an answer that says so",
                run(
                        "any",
                        arrived(1, "a", 1),
                        ran(5, "a", 1),
                        completed(9, false, Map.of(1, "v1"))),
                List.of()
            },
            {
                "a client that left",
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
                "a late answer",
                run("any", ended(1101, Seen.Answer.ABANDONED)),
                List.of(Rule.ONE_ANSWER)
            },
            {"an answer just in time", run("any", ended(1100, Seen.Answer.ABANDONED)), List.of()},
            {"a close", run("any", ended(5, Seen.Answer.CLOSED)), List.of(Rule.ONE_ANSWER)},
            {
                "a part after the answer",
                run("any", ended(5, Seen.Answer.THROTTLED), arrived(26, "a", 1)),
                List.of(Rule.ONE_ANSWER)
            },
            {
                "a part on its way when it was answered",
                run("any", ended(5, Seen.Answer.THROTTLED), arrived(24, "a", 1)),
                List.of()
            },
            {
                "a part after the client left",
                run("any", new Seen.Left(3, "s"), arrived(30, "a", 1)),
                List.of(Rule.ONE_ANSWER)
            },
            {
                "a part after the client left, as its gatherer went on",
                run(
                        "any",
                        new Seen.Left(3, "s"),
                        new Seen.HeldUp(1, 29, "g", false),
                        arrived(30, "a", 1)),
                List.of(Rule.ONE_ANSWER)
            },
            {
                "told as much as is left",
                run("any", told(10, 1040), ended(20, Seen.Answer.ABANDONED)),
                List.of()
            },
            {
                "told more than is left",
                run("any", told(10, 1041), ended(20, Seen.Answer.ABANDONED)),
                List.of(Rule.ONE_ANSWER)
            },
            {
                "closed as it was paused",
                run("any", new Seen.HeldUp(3, 4, "g", false), ended(5, Seen.Answer.CLOSED)),
                List.of(Rule.ONE_ANSWER)
            },
            {
                "no answer though a pause was over in time",
                run("any", new Seen.HeldUp(3, 900, "g", false)),
                List.of(Rule.ONE_ANSWER)
            },
            {
                "sent to a draining server as it went on",
                run(
                        "any",
                        told(1, Endpoint.State.DRAINING),
                        new Seen.HeldUp(1, 79, "g", false),
                        arrived(80, "a", 1),
                        ended(90, Seen.Answer.ABANDONED)),
                List.of(Rule.DRAINS)
            },
            {
                "an effect twice",
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
                "a further try of what never ran",
                run(
                        "once",
                        arrived(1, "a", 1),
                        arrived(3, "b", 1),
                        ran(4, "b", 1),
                        ended(9, Seen.Answer.ABANDONED)),
                List.of()
            },
            {
                "throttled though it ran, later",
                run("once", arrived(1, "a", 1), ended(9, Seen.Answer.THROTTLED), ran(500, "a", 1)),
                List.of(Rule.NO_EFFECT_TWICE)
            },
            {
                "keyed beyond its window",
                run(
                        "keyed",
                        arrived(1, "a", 1),
                        ran(2, "a", 1),
                        arrived(330, "b", 1),
                        ended(400, Seen.Answer.ABANDONED)),
                List.of(Rule.NO_EFFECT_TWICE)
            },
            {
                "keyed inside its window",
                run(
                        "keyed",
                        arrived(1, "a", 1),
                        ran(2, "a", 1),
                        arrived(290, "b", 1),
                        ended(400, Seen.Answer.ABANDONED)),
                List.of()
            },
            {
                "sent to a draining server",
                run(
                        "any",
                        told(1, Endpoint.State.DRAINING),
                        arrived(80, "a", 1),
                        ended(90, Seen.Answer.ABANDONED)),
                List.of(Rule.DRAINS)
            },
            {
                "sent within the grace",
                run(
                        "any",
                        told(1, Endpoint.State.DRAINING),
                        arrived(60, "a", 1),
                        ended(90, Seen.Answer.ABANDONED)),
                List.of()
            },
            {
                "told of a drain twice, the first counts",
                run(
                        "any",
                        told(1, Endpoint.State.DRAINING),
                        told(40, Endpoint.State.GONE),
                        arrived(80, "a", 1),
                        ended(90, Seen.Answer.ABANDONED)),
                List.of(Rule.DRAINS)
            },
            {
                "sent when it was back",
                run(
                        "any",
                        told(1, Endpoint.State.GONE),
                        told(50, Endpoint.State.RUNNING),
                        arrived(80, "a", 1),
                        ended(90, Seen.Answer.ABANDONED)),
                List.of()
            },
            {
                "pushed over",
                run("any", new Seen.FellOver(3, "a", Map.of()), ended(9, Seen.Answer.THROTTLED)),
                List.of(Rule.COLD)
            },
            {
                "under the least share",
                run("any", completed(9, false, Map.of())),
                List.of(Rule.HONEST)
            },
            {
                "called whole",
                run("any", arrived(1, "a", 1), ran(5, "a", 1), completed(9, true, Map.of(1, "v1"))),
                List.of(Rule.HONEST)
            },
            {
                "a value nobody made",
                run("any", arrived(1, "a", 1), ran(5, "a", 1), completed(9, false, Map.of(1, "x"))),
                List.of(Rule.HONEST)
            },
            {
                "a segment nobody asked for",
                run(
                        "any",
                        arrived(1, "a", 1),
                        ran(5, "a", 1),
                        completed(9, false, Map.of(1, "v1", 7, "v7"))),
                List.of(Rule.HONEST)
            },
            {
                "further dispatches beyond the budget",
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
                "further dispatches within it",
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
    Object[][] fleets() {
        return new Object[][] {
            // when further dispatches of three gatherers arrive, whether they are more than two in
            // 100 ms, 20 ms on the way allowed
            {new double[] {10, 20}, false},
            {new double[] {10, 20, 30}, true},
            {new double[] {10, 20, 89}, true},
            {new double[] {10, 20, 91}, false},
            {new double[] {10, 50, 91, 131}, false},
        };
    }

    @Test(dataProvider = "fleets")
    public void furtherDispatchesAreAddedUpOverAllGatherers(double[] at, boolean breaks) {
        var terms =
                new RuleTerms(
                        TERMS.queryClasses(),
                        Deployment.RetryBudget.NONE,
                        new RuleTerms.FleetRetryBudget(2, 100),
                        100,
                        50,
                        20,
                        30);
        var run = new ArrayList<Seen>();
        for (int i = 0; i < at.length; i++) {
            run.add(new Seen.Asked(i / 10.0, "g" + i, "s" + i, "any", 1000, Map.of(1, 1.0)));
            run.add(new Seen.Arrived(1 + i / 10.0, "g" + i, "a", "s" + i, 1, 500));
        }
        for (int i = 0; i < at.length; i++) {
            run.add(new Seen.Arrived(at[i], "g" + i, "b", "s" + i, 1, 500));
        }
        for (int i = 0; i < at.length; i++) {
            run.add(new Seen.Answered(500, "s" + i, Seen.Answer.THROTTLED, false, Map.of()));
        }
        List<Rule> rules =
                RuleChecker.check(terms, run, 10_000).stream()
                        .map(Violation::rule)
                        .distinct()
                        .toList();
        assertEquals(rules, breaks ? List.of(Rule.BUDGET) : List.of());
    }

    @Test(dataProvider = "runs")
    public void eachBreachIsToldAndNothingElse(String what, List<Seen> run, List<Rule> rules) {
        List<Violation> broken = RuleChecker.check(TERMS, run, 10_000);
        assertEquals(broken.stream().map(Violation::rule).toList(), rules, broken.toString());
    }

    @Test
    public void scanStillOpenWhenTheRunEndsIsNoBreach() {
        assertEquals(RuleChecker.check(TERMS, run("any"), 1000), List.of());
    }

    @Test
    public void ledgerTellsInOrderOfTime() {
        var ledger = new Ledger();
        ledger.add(ended(9, Seen.Answer.THROTTLED));
        ledger.add(asked("any", 0));
        assertEquals(ledger.inOrder().get(0), asked("any", 0));
    }
}
