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

/** Which queries begin, wait or are rejected, and what waiting costs. */
public class AdmissionTest {
    @Test
    public void queryWithoutCapacityWaitsAndIsRejectedBeforeAnyWork() {
        var fixture = new SchedulerFixture().start();
        for (int i = 0; i < 12; i++) {
            fixture.receive("s" + i, SchedulerFixture.COMPLETE_ONLY, 4, 4000);
        }
        long begun = fixture.serversByPart().size() / 4;
        assertTrue(begun < 12, begun + " begun");
        assertEquals(fixture.finalAnswers(), List.of());
        fixture.waitFor(260);
        assertEquals(fixture.finalAnswers().size(), 12 - begun);
        assertEquals(fixture.serversByPart().size(), 4 * begun);
    }

    @DataProvider
    Object[][] shortDeadlines() {
        return new Object[][] {
            // the client's time left in ms, whether its query is begun, where parts usually take 50
            // ms
            {0.0, false}, {7.0, false}, {30.0, false}, {150.0, true}, {4000.0, true},
        };
    }

    /** A query whose client leaves before any answer takes no server's time. */
    @Test(dataProvider = "shortDeadlines")
    public void queryThatCannotBeAnsweredInTimeIsRejectedOnArrival(double timeLeft, boolean begun) {
        var fixture = new SchedulerFixture().start();
        for (int i = 0; i < 12; i++) {
            fixture.complete("t" + i);
        }
        fixture.commands.clear();
        fixture.receive("s", SchedulerFixture.COMPLETE_ONLY, 1, timeLeft);
        assertEquals(fixture.serversByPart().containsKey("s/0"), begun);
        assertEquals(fixture.finalAnswers(), begun ? List.of() : List.of("rejected"));
    }

    @Test
    public void tooManyOpenQueriesEvictWaitingOnes() {
        var fixture = new SchedulerFixture();
        fixture.limits = new Deployment.Limits(3, 60, true, true, 500);
        fixture.start();
        for (int i = 0; i < 12; i++) {
            fixture.receive("s" + i, SchedulerFixture.COMPLETE_ONLY, 4, 4000);
        }
        // Twelve queries of four parts are sixty open; evicting six of those not begun is enough.
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
            // gatherers, queries of the flooding tenant for one of the other, whether its last wait
            // behind the other's
            {1, 1, false}, {100, 1, false}, {100, 12, true},
        };
    }

    /**
     * Two tenants of equal quota: the mix tells of a flood, however little of the traffic comes
     * here.
     */
    @Test(dataProvider = "tenantMixes")
    public void floodingTenantWaitsBehindOthers(int gatherers, int flood, boolean behind) {
        var fixture = new SchedulerFixture();
        fixture.gatherers = gatherers;
        fixture.tenants = List.of(new Tenant("x", 10), new Tenant("y", 10));
        fixture.start();
        for (int i = 0; i < 10; i++) {
            for (int j = 0; j < flood; j++) {
                fixture.complete("x" + i + "-" + j);
            }
            fixture.tenants = List.of(fixture.tenants.get(1), fixture.tenants.get(0));
            fixture.complete("y" + i);
            fixture.tenants = List.of(fixture.tenants.get(1), fixture.tenants.get(0));
        }
        // Over its quota a tenant has half of a concurrency limit, two attempts of four.
        int begun = 0;
        for (int i = 0; i < 8; i++) {
            fixture.receive("last" + i, SchedulerFixture.NON_IDEMPOTENT, 1, 4000);
            begun += fixture.serversByPart().containsKey("last" + i + "/0") ? 1 : 0;
        }
        assertEquals(begun < 8, behind, begun + " begun");
    }

    @DataProvider
    Object[][] fleetLatencies() {
        return new Object[][] {
            // gatherers, how long parts take in ms, whether queries are rejected on arrival
            {100, 700, true}, {100, 20, false}, {3, 700, false},
        };
    }

    /** Among many gatherers a full fleet shows in latencies alone. */
    @Test(dataProvider = "fleetLatencies")
    public void slowFleetOfManyGatherersRejectsQueries(
            int gatherers, double took, boolean rejected) {
        var fixture = new SchedulerFixture();
        fixture.gatherers = gatherers;
        fixture.start();
        boolean any = false;
        for (int i = 0; i < 40; i++) {
            fixture.commands.clear();
            for (int j = 0; j < 4; j++) {
                List<Command> actions =
                        fixture.receive("s" + i + "-" + j, SchedulerFixture.COMPLETE_ONLY, 4, 4000);
                any |= actions.stream().anyMatch(Command.RejectQuery.class::isInstance);
            }
            fixture.waitFor(took);
            fixture.serversByPart()
                    .forEach((part, sent) -> fixture.endAttempt(part, 0, AttemptOutcome.COMPLETED));
        }
        assertEquals(any, rejected);
    }

    @DataProvider
    Object[][] gathererCounts() {
        return new Object[][] {{true}, {false}};
    }

    /**
     * Every replica of a part failed twice just now: an overload that each of many gatherers can't
     * see otherwise.
     */
    @Test(dataProvider = "gathererCounts")
    public void queryWaitsWhileEveryReplicaHasJustFailed(boolean many) {
        var fixture = new SchedulerFixture();
        fixture.gatherers = many ? 100 : 1;
        fixture.start();
        for (int i = 0; i < 2; i++) {
            fixture.receive("f" + i, SchedulerFixture.COMPLETE_ONLY, 1, 4000);
            fixture.endAttempt("f" + i + "/0", 0, AttemptOutcome.ERROR);
            fixture.endAttempt("f" + i + "/0", 1, AttemptOutcome.ERROR);
            fixture.now++;
        }
        fixture.receive("s", SchedulerFixture.COMPLETE_ONLY, 1, 4000);
        assertEquals(fixture.serversByPart().containsKey("s/0"), !many);
    }

    /**
     * Guards against a timer set by each call while a query waits, and each of those setting a next
     * one.
     */
    @Test
    public void eventsDuringAWaitDontMultiplyWakeUps() {
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
                fixture.all(Command.ScheduleWakeUp.class).size() + " wakes in 100 ms");
    }

    /**
     * Guards against a flood of waiting queries that costs more to try, at each call, than to
     * serve.
     */
    @Test
    public void waitingQueriesAreTriedOnceATick() {
        var fixture = new SchedulerFixture().start();
        for (int i = 0; i < 12; i++) {
            fixture.receive("s" + i, SchedulerFixture.COMPLETE_ONLY, 4, 4000);
        }
        fixture.now += 6;
        fixture.decide(new Event.ClientDisconnected("nobody"));
        fixture.commands.clear();
        fixture.now += 2;
        // Capacity comes, and is seen with the next tick.
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
