package sprucehold.policy;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import sprucehold.decision.AttemptOutcome;
import sprucehold.decision.Command;
import sprucehold.decision.Endpoint;
import sprucehold.decision.Event;
import sprucehold.decision.SharedLimit;

/**
 * Tests how much work one gatherer, and all gatherers together, send to a server that is warming
 * up.
 */
public class SlowStartTest {
    @DataProvider
    Object[][] warmingServers() {
        return new Object[][] {
            // gatherers, how many ms ago the server started, the maximum work in ms that may be
            // sent there in a 1,000 ms window; if the budget is less than one part's work, a
            // lottery allows one part
            {1, 10, 410.0}, {2, 10, 250.0}, {1, 5000, 1250.0}, {1, 20_000, 1e9},
        };
    }

    /**
     * While latencies are unknown, parts are assumed to need a quarter of their latency objective,
     * which is 250 ms.
     */
    @Test(dataProvider = "warmingServers")
    public void warmingServerGetsNoMoreThanTheBudgetOfOneGatherer(
            int gatherers, double ageMs, double maxWorkMs) {
        var fixture = new SchedulerFixture();
        fixture.gatherers = gatherers;
        fixture.now = 100_000;
        fixture.start();
        fixture.decide(
                new Event.EndpointsUpdated(
                        false,
                        List.of(
                                SchedulerFixture.endpoint(
                                        "a", 0, fixture.now - ageMs, Endpoint.State.RUNNING))));
        for (int i = 0; i < 40; i++) {
            fixture.receive("s" + i, SchedulerFixture.COMPLETE_ONLY, 4, 4000);
            fixture.waitFor(5);
        }
        long toWarming =
                fixture.all(Command.SendAttempt.class).stream()
                        .filter(attempt -> attempt.server().equals("a"))
                        .count();
        assertTrue(250 * toWarming <= maxWorkMs, toWarming + " parts");
        assertTrue(maxWorkMs < 250 || toWarming > 0);
    }

    @DataProvider
    Object[][] fleets() {
        var rows = new ArrayList<Object[]>();
        for (int gatherers : new int[] {2, 5, 20, 30, 60, 100}) {
            for (double queriesPerWindow : new double[] {0.3, 1, 8}) {
                rows.add(new Object[] {gatherers, queriesPerWindow});
            }
        }
        return rows.toArray(Object[][]::new);
    }

    /**
     * A warming server may get N calls of mean work in a window. In addition, twice the square root
     * of N and two calls are allowed.
     */
    @Test(dataProvider = "fleets")
    public void warmingServerIsNotOverloadedByTheSumOfAllGatherers(
            int gatherers, double queriesPerWindow) {
        double startedAt = 100_000;
        var sentAt = new ArrayList<Double>();
        for (int number = 0; number < gatherers; number++) {
            sentAt.addAll(sendsToAServerThatStarts(gatherers, number, queriesPerWindow, startedAt));
        }
        Collections.sort(sentAt);
        int first = 0;
        double maxLoad = 0;
        for (int last = 0; last < sentAt.size(); last++) {
            while (sentAt.get(first) <= sentAt.get(last) - 1000) {
                first++;
            }
            // Parts take 50 ms. The server may get twice the work that it can do, starting at a
            // fifth of a core and growing every second.
            double calls = 2 * (0.2 + 0.8 * (sentAt.get(last) - startedAt) / 10_000) * 1000 / 50;
            maxLoad = Math.max(maxLoad, (last - first + 1) / (calls + 2 * Math.sqrt(calls) + 2));
        }
        assertTrue(maxLoad <= 1, "got " + maxLoad + " times the allowed work");
        double queries = gatherers * queriesPerWindow * 10;
        assertTrue(
                sentAt.size() >= Math.min(20, queries / 2), "too few parts sent: " + sentAt.size());
    }

    /**
     * Returns the times at which one of many gatherers sends to server a, which has just started,
     * until the server has warmed up.
     */
    private List<Double> sendsToAServerThatStarts(
            int gatherers, int number, double queriesPerWindow, double startedAt) {
        var fixture = new SchedulerFixture();
        fixture.seed = number * 0x9E3779B97F4A7C15L;
        fixture.gatherers = gatherers;
        fixture.now = startedAt - 10_000;
        fixture.start();
        double gapMs = 1000 / queriesPerWindow;
        double receiveAtMs = fixture.now + gapMs * number / gatherers;
        boolean serverListed = false;
        var sentAt = new ArrayList<Double>();
        for (int i = 0; receiveAtMs < startedAt + 10_000; i++, receiveAtMs += gapMs) {
            fixture.waitFor(receiveAtMs - fixture.now);
            if (!serverListed && fixture.now > startedAt) {
                serverListed = true;
                fixture.decide(
                        new Event.EndpointsUpdated(
                                false,
                                List.of(
                                        SchedulerFixture.endpoint(
                                                "a", 0, startedAt, Endpoint.State.RUNNING))));
            }
            fixture.commands.clear();
            fixture.receive("s" + i, SchedulerFixture.COMPLETE_ONLY, 4, 4000);
            for (String part : List.copyOf(fixture.serversByPart().keySet())) {
                fixture.endAttempt(part, 0, AttemptOutcome.COMPLETED);
            }
            if (serverListed) {
                fixture.serversByPart().values().stream()
                        .filter(servers -> servers.contains("a"))
                        .forEach(sent -> sentAt.add(fixture.now));
            }
        }
        return sentAt;
    }

    @DataProvider
    Object[][] allowances() {
        return new Object[][] {
            // allowance of the warming server in ms of work, number of parts of 250 ms that are
            // sent there
            {0, 0}, {249, 0}, {250, 1}, {499, 1}, {500, 2},
        };
    }

    @Test(dataProvider = "allowances")
    public void warmingServerGetsNoMoreThanTheSharedAllowance(int allowance, int expectedParts) {
        var fixture = new SchedulerFixture();
        fixture.gatherers = 100;
        fixture.now = 100_000;
        fixture.start();
        fixture.decide(
                SchedulerFixture.clusterView(
                        0, Map.of(SharedLimit.slowStart("a"), allowance), Map.of()),
                new Event.EndpointsUpdated(
                        false,
                        List.of(
                                SchedulerFixture.endpoint(
                                        "a", 0, fixture.now - 10, Endpoint.State.RUNNING))));
        // Three queries are few enough: from twelve latencies on, a part is no longer assumed to
        // need a quarter of its latency objective.
        for (int i = 0; i < 3; i++) {
            fixture.receive("s" + i, SchedulerFixture.COMPLETE_ONLY, 4, 4000);
            for (int part = 0; part < 4; part++) {
                if (fixture.serversByPart().containsKey("s" + i + "/" + part)) {
                    fixture.endAttempt("s" + i + "/" + part, 0, AttemptOutcome.COMPLETED);
                }
            }
        }
        assertEquals(fixture.attemptsTo("a"), expectedParts);
        assertEquals(
                fixture.all(Command.ConsumeAllowance.class),
                Collections.nCopies(
                        expectedParts,
                        new Command.ConsumeAllowance(SharedLimit.slowStart("a"), 250)));
    }
}
