package sprucehold.policy;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.Collections;
import java.util.List;
import java.util.Map;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import sprucehold.decision.AttemptOutcome;
import sprucehold.decision.Command;
import sprucehold.decision.Deployment;
import sprucehold.decision.Endpoint;
import sprucehold.decision.Event;
import sprucehold.decision.SharedLimit;
import sprucehold.decision.Tenant;

/** Tests which queries start, wait or are rejected, and how much work waiting queries cause. */
public class AdmissionTest {
    @Test
    public void queryWithoutCapacityWaitsAndIsRejectedBeforeAnyWork() {
        var fixture = new SchedulerFixture().start();
        for (int i = 0; i < 12; i++) {
            fixture.receive("s" + i, SchedulerFixture.COMPLETE_ONLY, 4, 4000);
        }
        long started = fixture.serversByPart().size() / 4;
        assertTrue(started < 12, started + " started");
        assertEquals(fixture.finalAnswers(), List.of());
        fixture.waitFor(260);
        assertEquals(fixture.finalAnswers().size(), 12 - started);
        assertEquals(fixture.serversByPart().size(), 4 * started);
    }

    @DataProvider
    Object[][] shortDeadlines() {
        return new Object[][] {
            // time until the client's deadline in ms, whether its query is started if parts usually
            // take 50 ms
            {0.0, false}, {7.0, false}, {30.0, false}, {150.0, true}, {4000.0, true},
        };
    }

    /** A query whose client disconnects before it can be answered must not use a server's time. */
    @Test(dataProvider = "shortDeadlines")
    public void queryThatCannotBeAnsweredInTimeIsRejectedOnArrival(
            double timeLeftMs, boolean started) {
        var fixture = new SchedulerFixture().start();
        for (int i = 0; i < 12; i++) {
            fixture.complete("t" + i);
        }
        fixture.commands.clear();
        fixture.receive("s", SchedulerFixture.COMPLETE_ONLY, 1, timeLeftMs);
        assertEquals(fixture.serversByPart().containsKey("s/0"), started);
        assertEquals(fixture.finalAnswers(), started ? List.of() : List.of("rejected"));
    }

    @Test
    public void tooManyOpenQueriesEvictWaitingOnes() {
        var fixture = new SchedulerFixture();
        fixture.limits = new Deployment.Limits(3, 60, true, true, 500);
        fixture.start();
        for (int i = 0; i < 12; i++) {
            fixture.receive("s" + i, SchedulerFixture.COMPLETE_ONLY, 4, 4000);
        }
        // Twelve queries of four parts are sixty open queries and parts, which is the maximum.
        // Queries that have not started are evicted while more than 54 queries and parts are open.
        assertTrue(
                fixture.finalAnswers().size() >= 1
                        && fixture.finalAnswers().stream().allMatch("rejected"::equals));
    }

    @Test
    public void queriesWithinAQuotaConsumeTheSharedAllowance() {
        var fixture = new SchedulerFixture();
        fixture.tenants = List.of(new Tenant("acme", 10), new Tenant("bolt", 1000));
        fixture.start();
        fixture.decide(
                SchedulerFixture.clusterView(
                        0, Map.of(SharedLimit.tenantQuota("acme"), 3), Map.of()));
        for (int i = 0; i < 8; i++) {
            fixture.receive("s" + i, SchedulerFixture.COMPLETE_ONLY, 1, 4000);
            fixture.endAttempt("s" + i + "/0", 0, AttemptOutcome.COMPLETED);
        }
        assertEquals(
                fixture.all(Command.ConsumeAllowance.class),
                Collections.nCopies(
                        3, new Command.ConsumeAllowance(SharedLimit.tenantQuota("acme"), 1)));
    }

    @DataProvider
    Object[][] tenantMixes() {
        return new Object[][] {
            // gatherers, queries of the flooding tenant for each query of the other tenant, whether
            // the last queries of the flooding tenant wait
            {1, 1, false}, {100, 1, false}, {100, 12, true},
        };
    }

    /**
     * Two tenants have equal quotas. The mix of their queries shows a flood even if this gatherer
     * receives only a small share of the traffic.
     */
    @Test(dataProvider = "tenantMixes")
    public void floodingTenantWaitsBehindOthers(int gatherers, int floodingQueries, boolean waits) {
        var fixture = new SchedulerFixture();
        fixture.gatherers = gatherers;
        fixture.tenants = List.of(new Tenant("x", 10), new Tenant("y", 10));
        fixture.start();
        for (int i = 0; i < 10; i++) {
            for (int j = 0; j < floodingQueries; j++) {
                fixture.complete("x" + i + "-" + j);
            }
            fixture.tenants = List.of(fixture.tenants.get(1), fixture.tenants.get(0));
            fixture.complete("y" + i);
            fixture.tenants = List.of(fixture.tenants.get(1), fixture.tenants.get(0));
        }
        // A tenant over its quota may use half of a concurrency limit: two of four attempts.
        int started = 0;
        for (int i = 0; i < 8; i++) {
            fixture.receive("last" + i, SchedulerFixture.NON_IDEMPOTENT, 1, 4000);
            started += fixture.serversByPart().containsKey("last" + i + "/0") ? 1 : 0;
        }
        assertEquals(started < 8, waits, started + " started");
    }

    @DataProvider
    Object[][] fleetLatencies() {
        return new Object[][] {
            // gatherers, latency of parts in ms, whether queries are rejected on arrival
            {100, 700, true}, {100, 20, false}, {3, 700, false},
        };
    }

    /** If there are many gatherers, only latencies show that the fleet is overloaded. */
    @Test(dataProvider = "fleetLatencies")
    public void queriesAreRejectedIfTheFleetIsSlowAndGatherersAreMany(
            int gatherers, double latencyMs, boolean rejected) {
        var fixture = new SchedulerFixture();
        fixture.gatherers = gatherers;
        fixture.start();
        boolean anyRejected = false;
        for (int i = 0; i < 40; i++) {
            fixture.commands.clear();
            for (int j = 0; j < 4; j++) {
                List<Command> decided =
                        fixture.receive("s" + i + "-" + j, SchedulerFixture.COMPLETE_ONLY, 4, 4000);
                anyRejected |= decided.stream().anyMatch(Command.RejectQuery.class::isInstance);
            }
            fixture.waitFor(latencyMs);
            fixture.serversByPart()
                    .forEach((part, sent) -> fixture.endAttempt(part, 0, AttemptOutcome.COMPLETED));
        }
        assertEquals(anyRejected, rejected);
    }

    @DataProvider
    Object[][] gathererCounts() {
        return new Object[][] {{true}, {false}};
    }

    /**
     * Every replica of a part has just failed twice. With many gatherers, this is the only sign of
     * an overload that a single gatherer can see.
     */
    @Test(dataProvider = "gathererCounts")
    public void queryWaitsIfEveryReplicaHasJustFailedAndGatherersAreMany(boolean manyGatherers) {
        var fixture = new SchedulerFixture();
        fixture.gatherers = manyGatherers ? 100 : 1;
        fixture.start();
        for (int i = 0; i < 2; i++) {
            fixture.receive("f" + i, SchedulerFixture.COMPLETE_ONLY, 1, 4000);
            fixture.endAttempt("f" + i + "/0", 0, AttemptOutcome.ERROR);
            fixture.endAttempt("f" + i + "/0", 1, AttemptOutcome.ERROR);
            fixture.now++;
        }
        fixture.receive("s", SchedulerFixture.COMPLETE_ONLY, 1, 4000);
        assertEquals(fixture.serversByPart().containsKey("s/0"), !manyGatherers);
    }

    /**
     * Guards against wake-ups that multiply because each call during a wait sets a timer and each
     * of these timers sets another one.
     */
    @Test
    public void eventsWhileAQueryWaitsDontMultiplyWakeUps() {
        var fixture = new SchedulerFixture().start();
        for (int group = 0; group < 4; group++) {
            fixture.decide(
                    new Event.EndpointsUpdated(
                            false,
                            List.of(
                                    SchedulerFixture.endpoint(
                                            "abcd".substring(group, group + 1),
                                            group,
                                            0,
                                            Endpoint.State.DRAINING))));
        }
        fixture.receive("s", SchedulerFixture.COMPLETE_ONLY, 1, 4000);
        for (int i = 0; i < 100; i++) {
            fixture.now++;
            fixture.decide(new Event.ClientDisconnected("nobody"));
        }
        fixture.commands.clear();
        fixture.waitFor(100);
        assertTrue(
                fixture.all(Command.ScheduleWakeUp.class).size() <= 5,
                fixture.all(Command.ScheduleWakeUp.class).size() + " wake-ups in 100 ms");
    }

    /**
     * Guards against a flood of waiting queries whose admission checks at each call cost more than
     * serving the queries.
     */
    @Test
    public void waitingQueriesAreCheckedOncePerTick() {
        var fixture = new SchedulerFixture().start();
        for (int i = 0; i < 12; i++) {
            fixture.receive("s" + i, SchedulerFixture.COMPLETE_ONLY, 4, 4000);
        }
        fixture.now += 6;
        fixture.decide(new Event.ClientDisconnected("nobody"));
        fixture.commands.clear();
        fixture.now += 2;
        // Servers get free capacity, which is used from the next tick on.
        for (int i = 0; i < 4; i++) {
            fixture.endAttempt("s0/" + i, 0, AttemptOutcome.COMPLETED);
            fixture.endAttempt("s1/" + i, 0, AttemptOutcome.COMPLETED);
        }
        assertEquals(fixture.serversByPart().size(), 0);
        fixture.now += 4;
        fixture.decide(new Event.ClientDisconnected("nobody"));
        assertTrue(fixture.serversByPart().size() > 0);
    }
}
