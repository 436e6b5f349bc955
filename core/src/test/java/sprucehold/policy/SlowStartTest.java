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

/** What a server that is warming up is sent by one gatherer and by all. */
public class SlowStartTest {
    @DataProvider
    Object[][] warmingServers() {
        return new Object[][] {
            // gatherers, how many ms ago the server started, the most work in ms of a 1,000 ms
            // window that may go there: where the budget is under one part's work, one part by
            // lottery
            {1, 10, 410.0}, {2, 10, 250.0}, {1, 5000, 1250.0}, {1, 20_000, 1e9},
        };
    }

    /**
     * Parts are taken to need a quarter of their latency objective, 250 ms, while nothing is known.
     */
    @Test(dataProvider = "warmingServers")
    public void warmingServerGetsNoMoreThanThisGatherersBudget(
            int gatherers, double age, double most) {
        var fixture = new SchedulerFixture();
        fixture.gatherers = gatherers;
        fixture.now = 100_000;
        fixture.start();
        fixture.decide(
                new Event.EndpointsUpdated(
                        false,
                        List.of(
                                SchedulerFixture.endpoint(
                                        "a", 0, fixture.now - age, Endpoint.State.RUNNING))));
        for (int i = 0; i < 40; i++) {
            fixture.receive("s" + i, SchedulerFixture.COMPLETE_ONLY, 4, 4000);
            fixture.waitFor(5);
        }
        long toWarming =
                fixture.all(Command.SendAttempt.class).stream()
                        .filter(d -> d.server().equals("a"))
                        .count();
        assertTrue(250 * toWarming <= most, toWarming + " parts");
        assertTrue(most < 250 || toWarming > 0);
    }

    @DataProvider
    Object[][] fleets() {
        var rows = new ArrayList<Object[]>();
        for (int gatherers : new int[] {2, 5, 20, 30, 60, 100}) {
            for (double queriesAWindow : new double[] {0.3, 1, 8}) {
                rows.add(new Object[] {gatherers, queriesAWindow});
            }
        }
        return rows.toArray(Object[][]::new);
    }

    /**
     * Beyond the N calls of mean work that a warming server may get in a window, twice the root of
     * N and two are granted.
     */
    @Test(dataProvider = "fleets")
    public void warmingServerIsNotOverloadedByTheSumOfAllGatherers(
            int gatherers, double queriesAWindow) {
        double startedAt = 100_000;
        var sentAt = new ArrayList<Double>();
        for (int number = 0; number < gatherers; number++) {
            sentAt.addAll(sendsToAServerThatStarts(gatherers, number, queriesAWindow, startedAt));
        }
        Collections.sort(sentAt);
        int first = 0;
        double fullest = 0;
        for (int last = 0; last < sentAt.size(); last++) {
            while (sentAt.get(first) <= sentAt.get(last) - 1000) {
                first++;
            }
            // Parts take 50 ms; the server may get twice what it can do, a fifth of a core and more
            // from second to second.
            double calls = 2 * (0.2 + 0.8 * (sentAt.get(last) - startedAt) / 10_000) * 1000 / 50;
            fullest = Math.max(fullest, (last - first + 1) / (calls + 2 * Math.sqrt(calls) + 2));
        }
        assertTrue(fullest <= 1, "got " + fullest + " times what it may");
        double queries = gatherers * queriesAWindow * 10;
        assertTrue(sentAt.size() >= Math.min(20, queries / 2), "it is used: " + sentAt.size());
    }

    /**
     * When one of many gatherers sends to server a, which has just started, in the time until it is
     * warm.
     */
    private List<Double> sendsToAServerThatStarts(
            int gatherers, int number, double queriesAWindow, double startedAt) {
        var fixture = new SchedulerFixture();
        fixture.seed = number * 0x9E3779B97F4A7C15L;
        fixture.gatherers = gatherers;
        fixture.now = startedAt - 10_000;
        fixture.start();
        double gap = 1000 / queriesAWindow;
        double at = fixture.now + gap * number / gatherers;
        boolean listed = false;
        var sentAt = new ArrayList<Double>();
        for (int i = 0; at < startedAt + 10_000; i++, at += gap) {
            fixture.waitFor(at - fixture.now);
            if (!listed && fixture.now > startedAt) {
                listed = true;
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
            if (listed) {
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
            // allowance of the warming server in ms of work, parts of 250 ms that go there
            {0, 0}, {249, 0}, {250, 1}, {499, 1}, {500, 2},
        };
    }

    @Test(dataProvider = "allowances")
    public void warmingServerGetsNoMoreThanTheSharedAllowance(int allowance, int parts) {
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
        // Three queries: from twelve latencies on a part is no longer taken to need a quarter of
        // its latency objective.
        for (int i = 0; i < 3; i++) {
            fixture.receive("s" + i, SchedulerFixture.COMPLETE_ONLY, 4, 4000);
            for (int part = 0; part < 4; part++) {
                if (fixture.serversByPart().containsKey("s" + i + "/" + part)) {
                    fixture.endAttempt("s" + i + "/" + part, 0, AttemptOutcome.COMPLETED);
                }
            }
        }
        assertEquals(fixture.attemptsTo("a"), parts);
        assertEquals(
                fixture.all(Command.ConsumeAllowance.class),
                Collections.nCopies(
                        parts, new Command.ConsumeAllowance(SharedLimit.slowStart("a"), 250)));
    }
}
