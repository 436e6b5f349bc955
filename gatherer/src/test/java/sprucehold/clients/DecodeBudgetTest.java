package sprucehold.clients;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class DecodeBudgetTest {
    private final List<DecodeBudget.Share> shares = new ArrayList<>();

    private static int takeAll(DecodeBudget.Share share) {
        int units = 0;
        while (share.take()) {
            units++;
        }
        return units;
    }

    @DataProvider
    Object[][] connections() {
        return new Object[][] {{1}, {2}, {240}, {5000}};
    }

    /** Guards against a long pass when many clients send bodies in very small chunks. */
    @Test(dataProvider = "connections")
    public void workOfAllConnectionsInAPassIsBounded(int connections) {
        var budget = new DecodeBudget();
        shares.clear();
        for (int i = 0; i < connections; i++) {
            shares.add(budget.share());
        }
        for (int pass = 0; pass < 4; pass++) {
            budget.passBegan();
            int units = shares.stream().mapToInt(DecodeBudgetTest::takeAll).sum();
            int min = connections * DecodeBudget.MIN_UNITS;
            assertTrue(units <= DecodeBudget.UNITS_PER_PASS + min, units + " units");
            assertTrue(units >= min, units + " units");
        }
    }

    @Test
    public void connectionsShareAPassEvenlyOnceTheyAreKnown() {
        var budget = new DecodeBudget();
        DecodeBudget.Share first = budget.share();
        DecodeBudget.Share second = budget.share();
        budget.passBegan();
        takeAll(first);
        takeAll(second);
        budget.passBegan();
        assertEquals(takeAll(first), DecodeBudget.UNITS_PER_PASS / 2);
        assertEquals(takeAll(second), DecodeBudget.UNITS_PER_PASS / 2);
        assertTrue(second.isExhausted());
    }

    /** A pass in which few connections are read doesn't raise the share of the many others. */
    @Test
    public void shareReflectsTheBusierOfTheLastTwoPasses() {
        var budget = new DecodeBudget();
        for (int i = 0; i < 100; i++) {
            shares.add(budget.share());
        }
        DecodeBudget.Share one = budget.share();
        budget.passBegan();
        shares.forEach(DecodeBudget.Share::take);
        budget.passBegan();
        one.take();
        budget.passBegan();
        assertEquals(takeAll(one), DecodeBudget.UNITS_PER_PASS / 100);
    }
}
