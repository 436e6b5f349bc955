package sprucehold.cluster.allowance;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import sprucehold.decision.Deployment;
import sprucehold.decision.Endpoint;
import sprucehold.decision.QueryClass;
import sprucehold.decision.SharedLimit;
import sprucehold.decision.Tenant;

/**
 * Tests of the shared limits as decisions see them: a single gatherer, and whole fleets in which
 * every send is counted in true time.
 */
public class AllowanceTableTest {
    static final double WALL = 1.7e12;
    static final double WINDOW_MS = 1000;
    static final double WARM_MS = 5000;
    static final double OVERLOAD_FACTOR = 1;
    static final Set<SharedLimit.Kind> ALL = EnumSet.allOf(SharedLimit.Kind.class);

    static Deployment deployment() {
        return new Deployment(
                6,
                "a",
                5,
                0.2,
                List.of(
                        new QueryClass(
                                "q", QueryClass.Idempotence.IDEMPOTENT, 80, 1, 0.3, 0, 1, 1, 0)),
                List.of(new Tenant("acme", 12)),
                new Deployment.ShardLayout(2, 1, 1),
                new Deployment.Limits(3, 100, true, true, 500),
                new Deployment.SlowStartRule(0.2, WARM_MS, OVERLOAD_FACTOR, WINDOW_MS),
                Deployment.RetryBudget.NONE,
                new Deployment.EndpointSubscription(false, 10_000));
    }

    /**
     * Returns the work that all gatherers together may send per window to a server that started
     * {@code ageMs} ago, in milliseconds.
     */
    static double allowedMs(double ageMs) {
        return OVERLOAD_FACTOR * (0.2 + 0.8 * Math.min(1, ageMs / WARM_MS)) * WINDOW_MS;
    }

    static Endpoint endpoint(String server, double startedAt, Endpoint.State state) {
        return new Endpoint(server, 0, "z", startedAt, state);
    }

    private static TestGatherer startGatherer(double now) {
        var gatherer = new TestGatherer("a-0");
        gatherer.start(now, List.of("a-0", "a-1", "b-0", "b-1", "c-0", "c-1"), 1);
        return gatherer;
    }

    @Test
    public void ownUnitsAddUpToTheLimitWhateverItsSize() {
        List<String> fleet = List.of("x", "y", "z", "v", "w");
        for (int units : new int[] {0, 1, 4, 5, 7, 800, 1_000_003}) {
            for (String limit : List.of("FURTHER", "COLD s-1@17", "CUSTOMER acme")) {
                int sum =
                        fleet.stream()
                                .mapToInt(
                                        self ->
                                                new AllowanceSettings(
                                                                self, fleet, ALL, 1, 1, 1, 0, 0)
                                                        .ownUnits(limit, units))
                                .sum();
                assertEquals(sum, units, limit);
            }
        }
    }

    @Test
    public void settingsWithoutTheOwnNameInTheFleetThrow() {
        assertEquals(
                expectThrows(
                                IllegalArgumentException.class,
                                () -> new AllowanceSettings("x", List.of("y"), ALL, 1, 1, 1, 0, 0))
                        .getMessage(),
                "fleet: x is not among the 1 names");
    }

    @DataProvider
    Object[][] starts() {
        return new Object[][] {
            // Each row contains the time since the server's start by the gatherer's wall clock, in
            // milliseconds, and the units that a single gatherer may send at once; -1 stands for no
            // limit. In the last row the start time is 0, which counts as long ago.
            {"just now", 10.0, 33},
            {"three seconds ago, but clocks may be ten apart", 3000.0, 33},
            {"long ago", 60_000.0, -1},
            {"ahead of this clock", -5000.0, 33},
            {"start time not reported", WALL + 50_000, -1},
        };
    }

    @Test(dataProvider = "starts")
    public void limitOfAWarmingServerOpensWithTheUpdateOfItsStart(
            String name, double ageMs, int freeUnits) {
        TestGatherer gatherer = startGatherer(0);
        double now = 50_000;
        gatherer.allowances.endpointsUpdated(
                gatherer.counted(now),
                gatherer.wall(now),
                true,
                List.of(endpoint("s", WALL + now - ageMs, Endpoint.State.RUNNING)));
        // This long after the start of its epoch, no lease of an earlier epoch can be outstanding:
        // all own units are free at once.
        int free = gatherer.freeUnits(now, SharedLimit.slowStart("s"));
        assertTrue(
                freeUnits < 0 ? free < 0 : free >= freeUnits && free <= freeUnits + 1,
                name + ": " + free);
    }

    @Test
    public void limitOfAWarmingServerIsBlockedAfterARestartUntilEarlierLeasesExpire() {
        TestGatherer gatherer = startGatherer(0);
        gatherer.allowances.endpointsUpdated(
                0, gatherer.wall(0), true, List.of(endpoint("s", WALL, Endpoint.State.RUNNING)));
        assertEquals(gatherer.freeUnits(0, SharedLimit.slowStart("s")), 0);
        assertEquals(
                gatherer.freeUnits(3000, SharedLimit.slowStart("s")),
                (int) (allowedMs(3000 * 0.998) - allowedMs(0)) / 6,
                "only this gatherer's part of the growth");
        assertTrue(
                gatherer.freeUnits(3400, SharedLimit.slowStart("s")) > 33 + 80,
                "a lease term, a window and the time to send later, with drift");
    }

    @Test
    public void allowanceGrowsWhileTheServerWarmsUpAndOwnGrowthIsConsumedFirst() {
        TestGatherer gatherer = startGatherer(0);
        double now = 50_000;
        gatherer.allowances.endpointsUpdated(
                gatherer.counted(now),
                gatherer.wall(now),
                true,
                List.of(endpoint("s", WALL + now, Endpoint.State.RUNNING)));
        now += 2500;
        int freeUnits = gatherer.freeUnits(now, SharedLimit.slowStart("s"));
        assertTrue(freeUnits >= 33 + 65 && freeUnits <= 34 + 67, "half warm: " + freeUnits);
        Grant grant =
                gatherer.allowances.consume(
                        gatherer.counted(now),
                        gatherer.wall(now),
                        SharedLimit.slowStart("s"),
                        freeUnits);
        assertNotNull(grant);
        assertEquals(gatherer.freeUnits(now, SharedLimit.slowStart("s")), 0);
        assertNull(
                gatherer.allowances.consume(
                        gatherer.counted(now), gatherer.wall(now), SharedLimit.slowStart("s"), 1),
                "no more units than are free");
        assertTrue(
                gatherer.allowances.isValid(
                        gatherer.counted(now + 290), gatherer.wall(now + 290), grant));
        assertFalse(
                gatherer.allowances.isValid(
                        gatherer.counted(now + 310), gatherer.wall(now + 310), grant),
                "after the time to send");
        assertTrue(
                gatherer.freeUnits(now + 1200, SharedLimit.slowStart("s")) < freeUnits,
                "the use counts for a window and the time to send");
        assertTrue(gatherer.freeUnits(now + 1400, SharedLimit.slowStart("s")) >= freeUnits);
        gatherer.allowances.tick(gatherer.counted(now + 2600), gatherer.wall(now + 2600));
        assertEquals(
                gatherer.freeUnits(now + 2600, SharedLimit.slowStart("s")),
                -1,
                "warm, with no limit any more");
    }

    @DataProvider
    Object[][] updates() {
        return new Object[][] {
            {"draining: its used units stay counted", Endpoint.State.DRAINING, true},
            {"gone", Endpoint.State.GONE, false},
        };
    }

    @Test(dataProvider = "updates")
    public void serverThatReturnsWithTheSameStartGetsNoNewUnits(
            String name, Endpoint.State state, boolean limitStays) {
        TestGatherer gatherer = startGatherer(0);
        double now = 50_000;
        var running = List.of(endpoint("s", WALL + now, Endpoint.State.RUNNING));
        gatherer.allowances.endpointsUpdated(
                gatherer.counted(now), gatherer.wall(now), true, running);
        assertNotNull(
                gatherer.allowances.consume(
                        gatherer.counted(now), gatherer.wall(now), SharedLimit.slowStart("s"), 33));
        gatherer.allowances.endpointsUpdated(
                gatherer.counted(now),
                gatherer.wall(now),
                false,
                List.of(endpoint("s", WALL + now, state)));
        assertEquals(gatherer.freeUnits(now, SharedLimit.slowStart("s")) >= 0, limitStays, name);
        gatherer.allowances.endpointsUpdated(
                gatherer.counted(now), gatherer.wall(now), false, running);
        assertTrue(
                gatherer.freeUnits(now, SharedLimit.slowStart("s")) <= 1,
                "the use still counts, whatever the list said in between");
    }

    @Test
    public void limitsThatAreNotSharedAreNeverRefused() {
        var gatherer = new TestGatherer("a-0");
        gatherer.start(0, List.of("a-0", "b-0"), 1);
        gatherer.allowances =
                new AllowanceTable(
                        deployment(),
                        new AllowanceSettings(
                                "a-0", List.of("a-0", "b-0"), Set.of(), 0, 1000, 300, 0, 0),
                        gatherer.session,
                        0,
                        WALL);
        gatherer.allowances.endpointsUpdated(
                0, WALL, true, List.of(endpoint("s", WALL, Endpoint.State.RUNNING)));
        for (SharedLimit limit :
                List.of(
                        SharedLimit.RETRIES,
                        SharedLimit.slowStart("s"),
                        SharedLimit.tenantQuota("acme"),
                        SharedLimit.tenantQuota("nobody"))) {
            Grant grant = gatherer.allowances.consume(0, WALL, limit, 1_000_000);
            assertTrue(
                    grant != null && gatherer.allowances.isValid(0, WALL, grant), limit.toString());
        }
        assertEquals(gatherer.allowances.clusterView(0, WALL).allowances(), Map.of());
    }

    /** Guards against memory that grows with the names of tenants that clients make up. */
    @Test
    public void demandOfTenantsIsKeptForThoseOfTheDeploymentOnly() {
        var gatherer = new TestGatherer("a-0");
        gatherer.start(0, List.of("a-0", "b-0"), 1);
        for (int i = 0; i < 1000; i++) {
            gatherer.allowances.queryReceived(i, "unknown" + i, List.of(0));
            gatherer.allowances.queryReceived(i, "acme", List.of(0));
        }
        assertEquals(gatherer.allowances.trackedTenants(), 1);
    }

    @DataProvider
    Object[][] scenarios() {
        var rows = new ArrayList<Object[]>();
        for (AllowanceFleet.Scenario scenario : AllowanceFleet.Scenario.values()) {
            for (long seed = 1; seed <= 4; seed++) {
                rows.add(new Object[] {scenario, seed});
            }
        }
        return rows.toArray(new Object[0][]);
    }

    @Test(dataProvider = "scenarios")
    public void noWindowExceedsTheLimitsInAnyScenario(AllowanceFleet.Scenario scenario, long seed) {
        var fleet = new AllowanceFleet(scenario, seed);
        fleet.run();
        assertEquals(fleet.violations, List.of());
        assertTrue(
                fleet.slowStartSent > 50 && fleet.retriesSent > 50,
                "too little to prove anything: " + fleet.slowStartSent + " " + fleet.retriesSent);
    }

    @Test
    public void sharingUsesMoreOfTheLimitThanEqualParts() {
        var fleet = new AllowanceFleet(AllowanceFleet.Scenario.CALM, 1);
        fleet.run();
        // With equal parts, a busy gatherer of the six could make two retries per second of the
        // twelve.
        assertTrue(
                fleet.retriesByBusy > 1.5 * 2 * 14,
                "retries of the busy gatherer in 14 s: " + fleet.retriesByBusy);
    }
}
