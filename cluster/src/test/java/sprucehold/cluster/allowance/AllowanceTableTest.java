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
 * Shared bounds as decisions see them: one gatherer by hand, and whole fleets whose every send is
 * counted in true time.
 */
public class AllowanceTableTest {
    static final double WALL = 1.7e12;
    static final double WINDOW_MS = 1000;
    static final double WARM_MS = 5000;
    static final double MULTIPLE = 1;
    static final Set<SharedLimit.Kind> ALL = EnumSet.allOf(SharedLimit.Kind.class);

    static Deployment facts() {
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
                new Deployment.SlowStartRule(0.2, WARM_MS, MULTIPLE, WINDOW_MS),
                Deployment.RetryBudget.NONE,
                new Deployment.EndpointSubscription(false, 10_000));
    }

    /**
     * What a server that started so long ago may be sent in a window, by all gatherers together.
     */
    static double allowed(double ageMs) {
        return MULTIPLE * (0.2 + 0.8 * Math.min(1, ageMs / WARM_MS)) * WINDOW_MS;
    }

    static Endpoint listing(String server, double startedAt, Endpoint.State mode) {
        return new Endpoint(server, 0, "z", startedAt, mode);
    }

    private static TestGatherer alone(double now) {
        var one = new TestGatherer("a-0");
        one.begin(now, List.of("a-0", "a-1", "b-0", "b-1", "c-0", "c-1"), 1);
        return one;
    }

    @Test
    public void ownUnitsAddUpToTheLimitWhateverItsSize() {
        List<String> fleet = List.of("x", "y", "z", "v", "w");
        for (int units : new int[] {0, 1, 4, 5, 7, 800, 1_000_003}) {
            for (String bound : List.of("FURTHER", "COLD s-1@17", "CUSTOMER acme")) {
                int sum =
                        fleet.stream()
                                .mapToInt(
                                        self ->
                                                new AllowanceSettings(
                                                                self, fleet, ALL, 1, 1, 1, 0, 0)
                                                        .ownUnits(bound, units))
                                .sum();
                assertEquals(sum, units, bound);
            }
        }
    }

    @Test
    public void aGathererThatIsNotOfTheFleetIsOneClearError() {
        assertEquals(
                expectThrows(
                                IllegalArgumentException.class,
                                () -> new AllowanceSettings("x", List.of("y"), ALL, 1, 1, 1, 0, 0))
                        .getMessage(),
                "fleet: x was expected among 1 names");
    }

    @DataProvider
    Object[][] starts() {
        return new Object[][] {
            // how long ago its wall clock says that the server started, 0 for long ago; what a
            // gatherer alone may send at once
            {"just now", 10.0, 33},
            {"three seconds ago, but clocks may be ten apart", 3000.0, 33},
            {"long ago", 60_000.0, -1},
            {"ahead of this clock", -5000.0, 33},
            {"not told", WALL + 50_000, -1},
        };
    }

    @Test(dataProvider = "starts")
    public void aWarmingServerIsSharedFromTheUpdateOfItsStart(String what, double agoMs, int room) {
        TestGatherer one = alone(0);
        double now = 50_000;
        one.allowances.endpointsUpdated(
                one.counted(now),
                one.wall(now),
                true,
                List.of(listing("s", WALL + now - agoMs, Endpoint.State.RUNNING)));
        // After so long in one life nothing of an earlier one can be out: the whole home is free at
        // once.
        int found = one.room(now, SharedLimit.slowStart("s"));
        assertTrue(room < 0 ? found < 0 : found >= room && found <= room + 1, what + ": " + found);
    }

    @Test
    public void aWarmingServerFoundAfterARestartWaitsUntilEarlierLeasesHaveLapsed() {
        TestGatherer one = alone(0);
        one.allowances.endpointsUpdated(
                0, one.wall(0), true, List.of(listing("s", WALL, Endpoint.State.RUNNING)));
        assertEquals(one.room(0, SharedLimit.slowStart("s")), 0);
        assertEquals(
                one.room(3000, SharedLimit.slowStart("s")),
                (int) (allowed(3000 * 0.998) - allowed(0)) / 6,
                "what it has grown by alone");
        assertTrue(
                one.room(3400, SharedLimit.slowStart("s")) > 33 + 80,
                "a term, a window, the patience and their drift later");
    }

    @Test
    public void allowanceGrowsWithWarmthAndOwnGrowthIsConsumedFirst() {
        TestGatherer one = alone(0);
        double now = 50_000;
        one.allowances.endpointsUpdated(
                one.counted(now),
                one.wall(now),
                true,
                List.of(listing("s", WALL + now, Endpoint.State.RUNNING)));
        now += 2500;
        int room = one.room(now, SharedLimit.slowStart("s"));
        assertTrue(room >= 33 + 65 && room <= 34 + 67, "half warm: " + room);
        Grant grant =
                one.allowances.consume(
                        one.counted(now), one.wall(now), SharedLimit.slowStart("s"), room);
        assertNotNull(grant);
        assertEquals(one.room(now, SharedLimit.slowStart("s")), 0);
        assertNull(
                one.allowances.consume(
                        one.counted(now), one.wall(now), SharedLimit.slowStart("s"), 1),
                "nothing more than there is");
        assertTrue(one.allowances.isValid(one.counted(now + 290), one.wall(now + 290), grant));
        assertFalse(
                one.allowances.isValid(one.counted(now + 310), one.wall(now + 310), grant),
                "beyond the patience");
        assertTrue(
                one.room(now + 1200, SharedLimit.slowStart("s")) < room,
                "it counts for a window and the patience");
        assertTrue(one.room(now + 1400, SharedLimit.slowStart("s")) >= room);
        one.allowances.tick(one.counted(now + 2600), one.wall(now + 2600));
        assertEquals(
                one.room(now + 2600, SharedLimit.slowStart("s")),
                -1,
                "warm, and no longer a bound");
    }

    @DataProvider
    Object[][] gone() {
        return new Object[][] {
            {"drains: nothing of what it has out is forgotten", Endpoint.State.DRAINING, true},
            {"gone", Endpoint.State.GONE, false},
        };
    }

    @Test(dataProvider = "gone")
    public void aServerThatComesBackUnderTheSameStartHasNoNewLimit(
            String what, Endpoint.State mode, boolean stays) {
        TestGatherer one = alone(0);
        double now = 50_000;
        var running = List.of(listing("s", WALL + now, Endpoint.State.RUNNING));
        one.allowances.endpointsUpdated(one.counted(now), one.wall(now), true, running);
        assertNotNull(
                one.allowances.consume(
                        one.counted(now), one.wall(now), SharedLimit.slowStart("s"), 33));
        one.allowances.endpointsUpdated(
                one.counted(now), one.wall(now), false, List.of(listing("s", WALL + now, mode)));
        assertEquals(one.room(now, SharedLimit.slowStart("s")) >= 0, stays, what);
        one.allowances.endpointsUpdated(one.counted(now), one.wall(now), false, running);
        assertTrue(
                one.room(now, SharedLimit.slowStart("s")) <= 1,
                "used just now, whatever the list says in between");
    }

    @Test
    public void whatIsNotSharedIsNeverRefused() {
        var one = new TestGatherer("a-0");
        one.begin(0, List.of("a-0", "b-0"), 1);
        one.allowances =
                new AllowanceTable(
                        facts(),
                        new AllowanceSettings(
                                "a-0", List.of("a-0", "b-0"), Set.of(), 0, 1000, 300, 0, 0),
                        one.session,
                        0,
                        WALL);
        one.allowances.endpointsUpdated(
                0, WALL, true, List.of(listing("s", WALL, Endpoint.State.RUNNING)));
        for (SharedLimit bound :
                List.of(
                        SharedLimit.RETRIES,
                        SharedLimit.slowStart("s"),
                        SharedLimit.tenantQuota("acme"),
                        SharedLimit.tenantQuota("nobody"))) {
            Grant grant = one.allowances.consume(0, WALL, bound, 1_000_000);
            assertTrue(grant != null && one.allowances.isValid(0, WALL, grant), bound.toString());
        }
        assertEquals(one.allowances.clusterView(0, WALL).allowances(), Map.of());
    }

    @DataProvider
    Object[][] days() {
        var rows = new ArrayList<Object[]>();
        for (AllowanceFleet.Day day : AllowanceFleet.Day.values()) {
            for (long seed = 1; seed <= 4; seed++) {
                rows.add(new Object[] {day, seed});
            }
        }
        return rows.toArray(new Object[0][]);
    }

    @Test(dataProvider = "days")
    public void noWindowExceedsTheLimitsWhateverHappens(AllowanceFleet.Day day, long seed) {
        var fleet = new AllowanceFleet(day, seed);
        fleet.play();
        assertEquals(fleet.broken, List.of());
        assertTrue(
                fleet.coldSent > 50 && fleet.furtherSent > 50,
                "too little to prove anything: " + fleet.coldSent + " " + fleet.furtherSent);
    }

    @Test
    public void sharingUsesMoreOfTheLimitThanEqualParts() {
        var fleet = new AllowanceFleet(AllowanceFleet.Day.CALM, 1);
        fleet.play();
        // Alone a busy one of six may make two further dispatches a second of the twelve.
        assertTrue(
                fleet.furtherByBusy > 1.5 * 2 * 14,
                "further dispatches of the busy one in 14 s: " + fleet.furtherByBusy);
    }
}
