package sprucehold.policy;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Map;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import sprucehold.decision.AttemptOutcome;
import sprucehold.decision.ClusterView;
import sprucehold.decision.Command;
import sprucehold.decision.Endpoint;
import sprucehold.decision.Event;
import sprucehold.decision.SharedLimit;
import sprucehold.decision.SkippedReplica;

/** Tests which replica a part is sent to while servers drain, fail or are in a slow zone. */
public class ReplicaSelectorTest {
    @DataProvider
    Object[][] departures() {
        return new Object[][] {
            {Endpoint.State.DRAINING, true},
            {Endpoint.State.GONE, true},
            {Endpoint.State.DRAINING, false},
        };
    }

    @Test(dataProvider = "departures")
    public void drainingOrGoneServerIsSentNothing(Endpoint.State state, boolean returns) {
        var fixture = new SchedulerFixture().start();
        fixture.decide(
                new Event.EndpointsUpdated(
                        false, List.of(SchedulerFixture.endpoint("a", 0, 0, state))));
        for (int i = 0; i < 20; i++) {
            fixture.receive("s" + i, SchedulerFixture.COMPLETE_ONLY, 4, 4000);
        }
        assertTrue(
                fixture.all(Command.SendAttempt.class).stream()
                        .noneMatch(attempt -> attempt.server().equals("a")));
        if (returns) {
            fixture.decide(
                    new Event.EndpointsUpdated(
                            false,
                            List.of(SchedulerFixture.endpoint("a", 0, 0, Endpoint.State.RUNNING))));
            for (int i = 0; i < 20; i++) {
                fixture.receive("t" + i, SchedulerFixture.COMPLETE_ONLY, 4, 4000);
            }
            assertFalse(
                    fixture.all(Command.SendAttempt.class).stream()
                            .noneMatch(attempt -> attempt.server().equals("a")));
        }
    }

    @Test
    public void drainingReplicaIsListedAsSkipped() {
        var fixture = new SchedulerFixture().start();
        fixture.decide(
                new Event.EndpointsUpdated(
                        false,
                        List.of(SchedulerFixture.endpoint("a", 0, 0, Endpoint.State.DRAINING))));
        fixture.commands.clear();
        // The position is chosen at random. At one of the two positions, server a is the replica of
        // shard 0.
        for (int i = 0; i < 8; i++) {
            fixture.receive("s" + i, SchedulerFixture.COMPLETE_ONLY, 1, 4000);
            fixture.endAttempt("s" + i + "/0", 0, AttemptOutcome.COMPLETED);
        }
        List<List<SkippedReplica>> skippedLists =
                fixture.all(Command.SendAttempt.class).stream()
                        .map(Command.SendAttempt::skipped)
                        .filter(list -> !list.isEmpty())
                        .toList();
        assertFalse(skippedLists.isEmpty());
        assertTrue(
                skippedLists.stream()
                        .allMatch(
                                List.of(new SkippedReplica("a", SkippedReplica.Cause.DRAINING))
                                        ::equals));
    }

    @DataProvider
    Object[][] failureScores() {
        return new Object[][] {
            // failure scores of a and b, the replicas of shard 0; whether a part is sent to a
            {Map.of(), true},
            {Map.of("a", 0.5), true},
            {Map.of("a", 0.6), false},
            {Map.of("b", 1.0), true},
            {Map.of("a", 1.0, "b", 1.0), true},
        };
    }

    @Test(dataProvider = "failureScores")
    public void serverWithAHighFailureScoreIsAvoided(Map<String, Double> scores, boolean expected) {
        boolean sentToA = false;
        for (int seed = 0; seed < 20; seed++) {
            var fixture = new SchedulerFixture();
            fixture.seed = seed * 0x9E3779B97F4A7C15L;
            fixture.start().decide(SchedulerFixture.clusterView(0, Map.of(), scores));
            fixture.receive("s", SchedulerFixture.COMPLETE_ONLY, 1, 4000);
            assertEquals(
                    fixture.all(Command.SendAttempt.class).size(),
                    1,
                    "the last replicas of a shard are never all avoided");
            sentToA |= fixture.attemptsTo("a") > 0;
        }
        assertEquals(sentToA, expected);
    }

    @Test
    public void emptyClusterViewReplacesThePreviousView() {
        var fixture = new SchedulerFixture().start();
        fixture.decide(
                SchedulerFixture.clusterView(9, Map.of(SharedLimit.RETRIES, 0), Map.of("a", 1.0)));
        fixture.decide(new Event.ClusterViewChanged(ClusterView.NONE));
        fixture.receive("s", SchedulerFixture.COMPLETE_ONLY, 1, 4000);
        fixture.endAttempt("s/0", 0, AttemptOutcome.ERROR);
        assertEquals(fixture.serversByPart().get("s/0").size(), 2);
        assertEquals(fixture.all(Command.ConsumeAllowance.class), List.of());
    }

    @Test
    public void nonIdempotentPartAvoidsAServerThatHasJustFailed() {
        for (int i = 0; i < 8; i++) {
            var fixture = new SchedulerFixture().start();
            fixture.receive("f", SchedulerFixture.COMPLETE_ONLY, 1, 4000);
            String failed = fixture.serversByPart().get("f/0").get(0);
            fixture.endAttempt("f/0", 0, AttemptOutcome.RESET);
            fixture.endAttempt("f/0", 1, AttemptOutcome.COMPLETED);
            fixture.receive("s", SchedulerFixture.NON_IDEMPOTENT, 1, 4000);
            assertFalse(fixture.serversByPart().get("s/0").contains(failed));
        }
    }

    @DataProvider
    Object[][] lateZones() {
        return new Object[][] {{true}, {false}};
    }

    /**
     * A server in a zone where most parts are late is avoided even if the server itself has never
     * failed.
     */
    @Test(dataProvider = "lateZones")
    public void zoneWithMostPartsLateIsAvoided(boolean lateZone) {
        var fixture = new SchedulerFixture();
        fixture.now = 100_000;
        fixture.start();
        fixture.decide(
                new Event.EndpointsUpdated(
                        false, List.of(farEndpoint("a", 0, 0), farEndpoint("c", 2, 0))));
        for (int i = 0; i < 30; i++) {
            fixture.commands.clear();
            fixture.receive("s" + i, SchedulerFixture.NON_IDEMPOTENT, 4, 4000);
            var sent = fixture.serversByPart();
            sent.forEach(
                    (part, servers) -> {
                        if (!lateZone || !"ac".contains(servers.get(0))) {
                            fixture.endAttempt(part, 0, AttemptOutcome.COMPLETED);
                        }
                    });
            fixture.waitFor(6000);
            sent.forEach((part, servers) -> fixture.endAttempt(part, 0, AttemptOutcome.COMPLETED));
        }
        // After a restart, server a has no failures of its own any more.
        fixture.decide(new Event.EndpointsUpdated(false, List.of(farEndpoint("a", 0, 1))));
        assertEquals(fixture.sendsToAIn20Queries("t", true), !lateZone);
    }

    private static Endpoint farEndpoint(String server, int group, double startedAt) {
        return new Endpoint(server, group, "far", startedAt, Endpoint.State.RUNNING);
    }
}
