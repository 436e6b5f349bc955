package sprucehold.change;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.Random;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import sprucehold.change.watch.Baseline;
import sprucehold.change.watch.BettingTest;
import sprucehold.change.watch.HealthWatch;
import sprucehold.change.watch.TimeWindow;

public class HealthWatchTest {
    private static final double WINDOW_MS = 250;
    private static final double CONFIRM_MS = 300_000;

    /**
     * Traffic and service over time. Times are in seconds since the change went live; negative
     * times are in the baseline.
     */
    private interface Scenario {
        /** Returns the query rate of a tenant, in queries per second. */
        double rate(double t, String tenant);

        /** Returns the probability that a query is completed within the latency objective. */
        double completed(double t, String tenant, String queryClass);
    }

    private static final String[] TENANTS = {"acme", "bolt", "cog"};
    private static final double[] RATES = {50, 20, 8};

    private static HealthWatch.Verdict run(Scenario scenario, long seed) {
        var random = new Random(seed);
        var baseline = new Baseline();
        double t = -120;
        while (t < 0) {
            baseline.add(window(scenario, t, random));
            t += WINDOW_MS / 1000;
        }
        var watch = new HealthWatch(baseline, 0, CONFIRM_MS, 100);
        for (t = 0; t < CONFIRM_MS / 1000 + 60; t += WINDOW_MS / 1000) {
            HealthWatch.Verdict verdict = watch.add(window(scenario, t, random));
            if (!(verdict instanceof HealthWatch.Verdict.Pending)) {
                decidedAtS = t;
                return verdict;
            }
        }
        return new HealthWatch.Verdict.Pending();
    }

    private static double decidedAtS;

    private static TimeWindow window(Scenario scenario, double t, Random random) {
        var builder = new TimeWindow.Builder();
        for (int c = 0; c < TENANTS.length; c++) {
            double expected = scenario.rate(t, TENANTS[c]) * WINDOW_MS / 1000;
            int queries =
                    (int) expected + (random.nextDouble() < expected - (int) expected ? 1 : 0);
            for (int i = 0; i < queries; i++) {
                String queryClass = random.nextInt(4) == 0 ? "stamps" : "offers";
                builder.add(
                        queryClass,
                        TENANTS[c],
                        1,
                        random.nextDouble() < scenario.completed(t, TENANTS[c], queryClass));
            }
        }
        return builder.endWindow((t + 1000) * 1000);
    }

    private static double baseRate(String tenant) {
        for (int i = 0; i < TENANTS.length; i++) {
            if (TENANTS[i].equals(tenant)) {
                return RATES[i];
            }
        }
        return 0;
    }

    private static Scenario steady(double completed) {
        return scenario((t, tenant) -> baseRate(tenant), (t, tenant, queryClass) -> completed);
    }

    private interface Rate {
        double at(double t, String tenant);
    }

    private interface Completed {
        double at(double t, String tenant, String queryClass);
    }

    private static Scenario scenario(Rate rate, Completed completed) {
        return new Scenario() {
            @Override
            public double rate(double t, String tenant) {
                return rate.at(t, tenant);
            }

            @Override
            public double completed(double t, String tenant, String queryClass) {
                return completed.at(t, tenant, queryClass);
            }
        };
    }

    @DataProvider
    Object[][] harmless() {
        return new Object[][] {
            {"service is good, before and after", steady(0.98)},
            {"service is poor, before and after", steady(0.7)},
            {
                "traffic falls to a twentieth",
                scenario(
                        (t, tenant) -> baseRate(tenant) * (t < 0 ? 1 : 0.05),
                        (t, tenant, queryClass) -> 0.97)
            },
            {
                "traffic stops",
                scenario(
                        (t, tenant) -> t < 0 ? baseRate(tenant) : 0,
                        (t, tenant, queryClass) -> 0.97)
            },
            {
                "one tenant sends eight times as many queries, most of which fail",
                scenario(
                        (t, tenant) -> baseRate(tenant) * (t > 5 && tenant.equals("bolt") ? 8 : 1),
                        (t, tenant, queryClass) -> t > 5 && tenant.equals("bolt") ? 0.3 : 0.98)
            },
            {
                "a fault that began before the change goes on",
                scenario(
                        (t, tenant) -> baseRate(tenant),
                        (t, tenant, queryClass) -> t < -20 ? 0.98 : 0.6)
            },
            {
                "service improves",
                scenario(
                        (t, tenant) -> baseRate(tenant),
                        (t, tenant, queryClass) -> t < 0 ? 0.8 : 0.99)
            },
        };
    }

    @Test(dataProvider = "harmless")
    public void harmlessChangeIsNeverRolledBack(String description, Scenario scenario) {
        for (long seed = 0; seed < 40; seed++) {
            HealthWatch.Verdict verdict = run(scenario, seed);
            assertTrue(
                    !(verdict instanceof HealthWatch.Verdict.Degraded),
                    description + ", seed " + seed + ": " + verdict);
        }
    }

    @DataProvider
    Object[][] harmful() {
        return new Object[][] {
            // description, scenario, latest time of detection in seconds
            {
                "half of all queries fail",
                scenario(
                        (t, tenant) -> baseRate(tenant),
                        (t, tenant, queryClass) -> t < 0 ? 0.98 : 0.5),
                4.0
            },
            {
                "most queries of the largest tenant fail",
                scenario(
                        (t, tenant) -> baseRate(tenant),
                        (t, tenant, queryClass) -> t >= 0 && tenant.equals("acme") ? 0.15 : 0.98),
                4.0
            },
            {
                "most queries of one query class are late",
                scenario(
                        (t, tenant) -> baseRate(tenant),
                        (t, tenant, queryClass) ->
                                t >= 0 && queryClass.equals("stamps") ? 0.3 : 0.98),
                15.0
            },
            {
                "a tenth of all queries fails",
                scenario(
                        (t, tenant) -> baseRate(tenant),
                        (t, tenant, queryClass) -> t < 0 ? 0.98 : 0.86),
                40.0
            },
            {
                "failures rise by three percent of all queries a minute",
                scenario(
                        (t, tenant) -> baseRate(tenant),
                        (t, tenant, queryClass) ->
                                t < 0 ? 0.98 : Math.max(0, 0.98 - 0.03 * t / 60)),
                300.0
            },
        };
    }

    @Test(dataProvider = "harmful")
    public void degradationIsDetectedInTime(String description, Scenario scenario, double latestS) {
        for (long seed = 0; seed < 40; seed++) {
            HealthWatch.Verdict verdict = run(scenario, seed);
            assertTrue(
                    verdict instanceof HealthWatch.Verdict.Degraded,
                    description + ", seed " + seed + ": " + verdict);
            assertTrue(
                    decidedAtS <= latestS,
                    description + ", seed " + seed + ": detected after " + decidedAtS + " s");
        }
    }

    @Test
    public void bettingTestDoesNotExceedItsStatedRateOfFalseAlarms() {
        int alarms = 0;
        int runs = 4000;
        var random = new Random(8);
        for (int run = 0; run < runs; run++) {
            var test = new BettingTest(0.9);
            // The mean equals the bound, the hardest case that must not raise an alarm.
            for (int i = 0; i < 400; i++) {
                test.add(random.nextDouble() < 0.9 ? 1 : 0);
            }
            alarms += test.meanIsBelowBound(0.05) ? 1 : 0;
        }
        assertTrue(alarms <= 0.05 * runs, alarms + " of " + runs);
        assertTrue(alarms > 0, "a test without any alarm detects no degradation either");
    }

    @Test
    public void clockJumpNeitherEndsNorProlongsTheWatch() {
        var random = new Random(1);
        var baseline = new Baseline();
        for (double t = -60; t < 0; t += 0.25) {
            baseline.add(window(steady(0.98), t, random));
        }
        var watch = new HealthWatch(baseline, 1_000_000, 5000, 10);
        // The clock jumps ahead by one hour.
        TimeWindow jumped = window(steady(0.98), 3600, random);
        assertEquals(watch.add(jumped), new HealthWatch.Verdict.Pending());
        HealthWatch.Verdict verdict = new HealthWatch.Verdict.Pending();
        for (int i = 1; i < 100 && verdict instanceof HealthWatch.Verdict.Pending; i++) {
            verdict = watch.add(window(steady(0.98), (i == 50 ? -3600 : 3600) + i * 0.25, random));
        }
        assertTrue(verdict instanceof HealthWatch.Verdict.Healthy, verdict.toString());
    }
}
