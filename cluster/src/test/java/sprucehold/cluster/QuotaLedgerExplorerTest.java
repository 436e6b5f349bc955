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
 * Visits every state of a bounded world: three gatherers, two units that are the homes of two of
 * them, asks, loans and returns as messages that are lost, doubled and late, uses that are sent at
 * once or after a pause, a crash, clocks that drift apart and a wall clock that jumps. In no window
 * may more than two uses be sent. A state is rebuilt by playing its steps again, as the pure part
 * is deterministic.
 */
public class QuotaLedgerExplorerTest {

    private static final LeaseWorld.Clocks EVEN = new LeaseWorld.Clocks(1, 1, 1, 0);

    /**
     * All three, and a little of everything: some seconds as it stands, and over a minute with
     * -Dsprucehold.explore=all.
     */
    private static final LeaseWorld.Most ALL =
            "all".equals(System.getProperty("sprucehold.explore"))
                    ? new LeaseWorld.Most(true, 5, 2, 3, 1, 1, 1, 1, 1)
                    : new LeaseWorld.Most(true, 4, 1, 3, 1, 1, 0, 1, 0);

    /** A lender and a borrower, for as long as a loan lasts. */
    private static final LeaseWorld.Most LOAN = new LeaseWorld.Most(false, 11, 1, 3, 0, 0, 1, 0, 0);

    private static final LeaseWorld.Most DOUBLED =
            new LeaseWorld.Most(false, 11, 1, 3, 0, 1, 0, 0, 0);
    private static final LeaseWorld.Most RETURNED =
            new LeaseWorld.Most(false, 7, 2, 3, 0, 0, 0, 1, 0);
    private static final LeaseWorld.Most CRASHED =
            new LeaseWorld.Most(false, 11, 2, 3, 1, 0, 0, 1, 0);
    private static final LeaseWorld.Most RENEWED =
            new LeaseWorld.Most(false, 14, 1, 3, 0, 0, 0, 0, 1);
    private static final LeaseWorld.Most RENEWED_AND_MORE =
            new LeaseWorld.Most(false, 9, 1, 3, 0, 1, 0, 1, 1);

    private record Found(int states, List<String> broken) {}

    private static LeaseWorld play(
            LeaseWorld.Mutation mutation,
            LeaseWorld.Clocks clocks,
            LeaseWorld.Most most,
            List<String> steps) {
        var world = new LeaseWorld(mutation, clocks, most);
        steps.forEach(world::take);
        return world;
    }

    /** Visits all states, and stops at the first in which the bound is broken. */
    private static Found explore(
            LeaseWorld.Mutation mutation, LeaseWorld.Clocks clocks, LeaseWorld.Most most) {
        Set<String> seen = new HashSet<>();
        var next = new ArrayDeque<List<String>>();
        next.add(List.of());
        while (!next.isEmpty()) {
            List<String> steps = next.poll();
            for (String step : play(mutation, clocks, most, steps).steps()) {
                var longer = new ArrayList<>(steps);
                longer.add(step);
                LeaseWorld world = play(mutation, clocks, most, longer);
                if (world.broken != null) {
                    longer.add(world.broken);
                    return new Found(seen.size(), longer);
                }
                if (seen.add(world.key())) {
                    next.add(longer);
                }
            }
        }
        return new Found(seen.size(), null);
    }

    @DataProvider
    Object[][] worlds() {
        return new Object[][] {
            {"all three", EVEN, ALL},
            {"a loan", EVEN, LOAN},
            {
                "a loan, the lender's clock fast and the borrower's slow",
                new LeaseWorld.Clocks(1.25, 1, 0.75, 0),
                LOAN
            },
            {
                "a loan, the lender's clock slow and the borrower's fast",
                new LeaseWorld.Clocks(0.75, 1, 1.25, 0),
                LOAN
            },
            {"a loan, a wall clock jumps ahead", new LeaseWorld.Clocks(1.25, 1, 0.75, 3000), LOAN},
            {"a loan, a wall clock jumps back", new LeaseWorld.Clocks(1.25, 1, 0.75, -3000), LOAN},
            {"doubled messages", EVEN, DOUBLED},
            {"returns", EVEN, RETURNED},
            {"a crash", EVEN, CRASHED},
            {"a renewal", EVEN, RENEWED},
            {
                "a renewal, the lender's clock fast and the borrower's slow",
                new LeaseWorld.Clocks(1.25, 1, 0.75, 0),
                RENEWED
            },
            {"a renewal, doubled messages and a return", EVEN, RENEWED_AND_MORE},
        };
    }

    @Test(dataProvider = "worlds")
    public void noWindowSeesMoreUsesThanTheLimitWhateverHappens(
            String what, LeaseWorld.Clocks clocks, LeaseWorld.Most most) {
        Found found = explore(LeaseWorld.Mutation.NONE, clocks, most);
        assertEquals(found.broken, null, what);
        assertTrue(found.states >= 500, "too few states to prove anything: " + found.states);
        System.out.println(what + ": explored " + found.states + " states");
    }

    @DataProvider
    Object[][] mutations() {
        return new Object[][] {
            {LeaseWorld.Mutation.CLOCKS_EXCHANGED, new LeaseWorld.Clocks(1, 1, 1, 3000), LOAN},
            {LeaseWorld.Mutation.DRIFT_IGNORED, new LeaseWorld.Clocks(1.25, 1, 0.75, 0), LOAN},
            {LeaseWorld.Mutation.TERM_FROM_RECEIPT, EVEN, LOAN},
            {LeaseWorld.Mutation.EPOCH_IGNORED, EVEN, CRASHED},
            {LeaseWorld.Mutation.NEW_LIFE_BEGINS_FREE, EVEN, CRASHED},
            {LeaseWorld.Mutation.DOUBLED_GRANT_TAKEN_TWICE, EVEN, DOUBLED},
            {LeaseWorld.Mutation.USED_AFTER_RETURN, EVEN, RETURNED},
            {LeaseWorld.Mutation.PERMIT_IGNORED, EVEN, LOAN},
            {LeaseWorld.Mutation.USES_FORGOTTEN_EARLY, EVEN, LOAN},
            {LeaseWorld.Mutation.LOAN_WITHOUT_END, EVEN, LOAN},
            {
                LeaseWorld.Mutation.RENEWED_FROM_RECEIPT,
                new LeaseWorld.Clocks(1.25, 1, 0.75, 0),
                RENEWED
            },
            {
                LeaseWorld.Mutation.RENEWED_BY_ITSELF,
                new LeaseWorld.Clocks(1.25, 1, 0.75, 0),
                RENEWED
            },
            {LeaseWorld.Mutation.RENEWED_AFTER_RETURN, EVEN, RENEWED_AND_MORE},
        };
    }

    @Test(dataProvider = "mutations")
    public void eachMutationIsFound(
            LeaseWorld.Mutation mutation, LeaseWorld.Clocks clocks, LeaseWorld.Most most) {
        Found found = explore(mutation, clocks, most);
        assertNotNull(found.broken, mutation + " was not found in " + found.states + " states");
        System.out.println(
                mutation
                        + " found after "
                        + found.states
                        + " states: "
                        + String.join(", ", found.broken));
    }

    @Test
    public void onlyItsBorrowerReturnsALease() {
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
