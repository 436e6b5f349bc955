package sprucehold.cluster;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import sprucehold.cluster.quota.Lease;
import sprucehold.cluster.quota.MonotonicLeaseClock;
import sprucehold.cluster.quota.QuotaLedger;
import sprucehold.cluster.quota.QuotaTerms;

/**
 * Visits every state of a bounded world and checks that no window contains more than two sent uses.
 * The world has three gatherers and two units, which are the own units of two of them. Requests,
 * leases and returns are messages that may be lost, duplicated or delayed. Uses are sent at once or
 * after a pause. A gatherer may crash, clocks drift apart, and a wall clock jumps. A state is
 * rebuilt by applying its steps again, as the ledger is deterministic.
 */
public class QuotaLedgerExplorerTest {

    private static final LeaseWorld.Clocks EQUAL_CLOCKS = new LeaseWorld.Clocks(1, 1, 1, 0);

    /**
     * All three gatherers and a few steps of each kind. Exploration takes some seconds by default,
     * and over a minute with -Dsprucehold.explore=all.
     */
    private static final LeaseWorld.StepLimits ALL_GATHERERS =
            "all".equals(System.getProperty("sprucehold.explore"))
                    ? new LeaseWorld.StepLimits(true, 5, 2, 3, 1, 1, 1, 1, 1)
                    : new LeaseWorld.StepLimits(true, 4, 1, 3, 1, 1, 0, 1, 0);

    /** A lender and a borrower, for the duration of a lease. */
    private static final LeaseWorld.StepLimits LEASE =
            new LeaseWorld.StepLimits(false, 11, 1, 3, 0, 0, 1, 0, 0);

    private static final LeaseWorld.StepLimits DUPLICATED =
            new LeaseWorld.StepLimits(false, 11, 1, 3, 0, 1, 0, 0, 0);
    private static final LeaseWorld.StepLimits RETURNED =
            new LeaseWorld.StepLimits(false, 7, 2, 3, 0, 0, 0, 1, 0);
    private static final LeaseWorld.StepLimits CRASHED =
            new LeaseWorld.StepLimits(false, 11, 2, 3, 1, 0, 0, 1, 0);
    private static final LeaseWorld.StepLimits RENEWED =
            new LeaseWorld.StepLimits(false, 14, 1, 3, 0, 0, 0, 0, 1);
    private static final LeaseWorld.StepLimits RENEWED_AND_RETURNED =
            new LeaseWorld.StepLimits(false, 9, 1, 3, 0, 1, 0, 1, 1);

    private record Exploration(int states, List<String> violation) {}

    private static LeaseWorld play(
            LeaseWorld.Mutation mutation,
            LeaseWorld.Clocks clocks,
            LeaseWorld.StepLimits limits,
            List<String> steps) {
        var world = new LeaseWorld(mutation, clocks, limits);
        steps.forEach(world::apply);
        return world;
    }

    /** Visits all states, and stops at the first that violates the limit. */
    private static Exploration explore(
            LeaseWorld.Mutation mutation, LeaseWorld.Clocks clocks, LeaseWorld.StepLimits limits) {
        Set<String> seen = new HashSet<>();
        var next = new ArrayDeque<List<String>>();
        next.add(List.of());
        while (!next.isEmpty()) {
            List<String> steps = next.poll();
            for (String step : play(mutation, clocks, limits, steps).steps()) {
                var longer = new ArrayList<>(steps);
                longer.add(step);
                LeaseWorld world = play(mutation, clocks, limits, longer);
                if (world.violation != null) {
                    longer.add(world.violation);
                    return new Exploration(seen.size(), longer);
                }
                if (seen.add(world.stateKey())) {
                    next.add(longer);
                }
            }
        }
        return new Exploration(seen.size(), null);
    }

    @DataProvider
    Object[][] worlds() {
        return new Object[][] {
            {"all three gatherers", EQUAL_CLOCKS, ALL_GATHERERS},
            {"a lease", EQUAL_CLOCKS, LEASE},
            {
                "a lease, the lender's clock fast and the borrower's slow",
                new LeaseWorld.Clocks(1.25, 1, 0.75, 0),
                LEASE
            },
            {
                "a lease, the lender's clock slow and the borrower's fast",
                new LeaseWorld.Clocks(0.75, 1, 1.25, 0),
                LEASE
            },
            {
                "a lease, a wall clock jumps forward",
                new LeaseWorld.Clocks(1.25, 1, 0.75, 3000),
                LEASE
            },
            {
                "a lease, a wall clock jumps back",
                new LeaseWorld.Clocks(1.25, 1, 0.75, -3000),
                LEASE
            },
            {"duplicated messages", EQUAL_CLOCKS, DUPLICATED},
            {"returns", EQUAL_CLOCKS, RETURNED},
            {"a crash", EQUAL_CLOCKS, CRASHED},
            {"a renewal", EQUAL_CLOCKS, RENEWED},
            {
                "a renewal, the lender's clock fast and the borrower's slow",
                new LeaseWorld.Clocks(1.25, 1, 0.75, 0),
                RENEWED
            },
            {"a renewal, duplicated messages and a return", EQUAL_CLOCKS, RENEWED_AND_RETURNED},
        };
    }

    @Test(dataProvider = "worlds")
    public void usesInEachWindowStayWithinTheLimitInEveryState(
            String name, LeaseWorld.Clocks clocks, LeaseWorld.StepLimits limits) {
        Exploration exploration = explore(LeaseWorld.Mutation.NONE, clocks, limits);
        assertEquals(exploration.violation, null, name);
        assertTrue(
                exploration.states >= 500,
                "too few states to prove anything: " + exploration.states);
        System.out.println(name + ": explored " + exploration.states + " states");
    }

    @DataProvider
    Object[][] mutations() {
        return new Object[][] {
            {LeaseWorld.Mutation.CLOCK_BOUNDS_SWAPPED, new LeaseWorld.Clocks(1, 1, 1, 3000), LEASE},
            {LeaseWorld.Mutation.DRIFT_IGNORED, new LeaseWorld.Clocks(1.25, 1, 0.75, 0), LEASE},
            {LeaseWorld.Mutation.TERM_FROM_RECEIPT, EQUAL_CLOCKS, LEASE},
            {LeaseWorld.Mutation.EPOCH_IGNORED, EQUAL_CLOCKS, CRASHED},
            {LeaseWorld.Mutation.NEW_EPOCH_STARTS_FREE, EQUAL_CLOCKS, CRASHED},
            {LeaseWorld.Mutation.DUPLICATE_GRANT_ACCEPTED, EQUAL_CLOCKS, DUPLICATED},
            {LeaseWorld.Mutation.USED_AFTER_RETURN, EQUAL_CLOCKS, RETURNED},
            {LeaseWorld.Mutation.PERMIT_IGNORED, EQUAL_CLOCKS, LEASE},
            {LeaseWorld.Mutation.USES_EXPIRED_EARLY, EQUAL_CLOCKS, LEASE},
            {LeaseWorld.Mutation.LEASE_WITHOUT_END, EQUAL_CLOCKS, LEASE},
            {
                LeaseWorld.Mutation.RENEWED_FROM_RECEIPT,
                new LeaseWorld.Clocks(1.25, 1, 0.75, 0),
                RENEWED
            },
            {
                LeaseWorld.Mutation.RENEWED_WITHOUT_GRANT,
                new LeaseWorld.Clocks(1.25, 1, 0.75, 0),
                RENEWED
            },
            {LeaseWorld.Mutation.RENEWED_AFTER_RETURN, EQUAL_CLOCKS, RENEWED_AND_RETURNED},
        };
    }

    @Test(dataProvider = "mutations")
    public void eachMutationCausesAViolation(
            LeaseWorld.Mutation mutation, LeaseWorld.Clocks clocks, LeaseWorld.StepLimits limits) {
        Exploration exploration = explore(mutation, clocks, limits);
        assertNotNull(
                exploration.violation,
                mutation + " was not found in " + exploration.states + " states");
        System.out.println(
                mutation
                        + " found after "
                        + exploration.states
                        + " states: "
                        + String.join(", ", exploration.violation));
    }

    @Test
    public void returnOfALeaseIsAcceptedFromItsBorrowerOnly() {
        var clock = new MonotonicLeaseClock();
        clock.read(0, 0);
        var ledger = new QuotaLedger("a", 1, new QuotaTerms(2, 0, 1000, 20, 2000, 0), clock);
        clock.read(1e5, 1e5);
        Lease lease = ledger.lend("b", 2, 0);
        ledger.acceptReturn("c", lease);
        assertEquals(ledger.free(), 0);
        ledger.acceptReturn("b", lease);
        assertEquals(ledger.free(), 2);
    }
}
