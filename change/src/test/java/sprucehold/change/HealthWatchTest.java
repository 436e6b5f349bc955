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

    /** What a day does; times in seconds since the change went live, negative baseline. */
    private interface Day {
        /** Scans a second of a tenant. */
        double rate(double t, String tenant);

        /** The chance that a query is answered in target time. */
        double completed(double t, String tenant, String type);
    }

    private static final String[] TENANTS = {"acme", "bolt", "cog"};
    private static final double[] RATES = {50, 20, 8};

    private static HealthWatch.Verdict play(Day day, long seed) {
        var random = new Random(seed);
        var baseline = new Baseline();
        double t = -120;
        while (t < 0) {
            baseline.add(window(day, t, random));
            t += WINDOW_MS / 1000;
        }
        var watch = new HealthWatch(baseline, 0, CONFIRM_MS, 100);
        for (t = 0; t < CONFIRM_MS / 1000 + 60; t += WINDOW_MS / 1000) {
            HealthWatch.Verdict verdict = watch.add(window(day, t, random));
            if (!(verdict instanceof HealthWatch.Verdict.Pending)) {
                at = t;
                return verdict;
            }
        }
        return new HealthWatch.Verdict.Pending();
    }

    private static double at;

    private static TimeWindow window(Day day, double t, Random random) {
        var builder = new TimeWindow.Builder();
        for (int c = 0; c < TENANTS.length; c++) {
            double expected = day.rate(t, TENANTS[c]) * WINDOW_MS / 1000;
            int queries =
                    (int) expected + (random.nextDouble() < expected - (int) expected ? 1 : 0);
            for (int i = 0; i < queries; i++) {
                String type = random.nextInt(4) == 0 ? "stamps" : "offers";
                builder.add(
                        type,
                        TENANTS[c],
                        1,
                        random.nextDouble() < day.completed(t, TENANTS[c], type));
            }
        }
        return builder.take((t + 1000) * 1000);
    }

    private static double usual(String tenant) {
        for (int i = 0; i < TENANTS.length; i++) {
            if (TENANTS[i].equals(tenant)) {
                return RATES[i];
            }
        }
        return 0;
    }

    private static Day day(double completed) {
        return of((t, tenant) -> usual(tenant), (t, tenant, type) -> completed);
    }

    private interface Rate {
        double at(double t, String tenant);
    }

    private interface Completed {
        double at(double t, String tenant, String type);
    }

    private static Day of(Rate rate, Completed completed) {
        return new Day() {
            @Override
            public double rate(double t, String tenant) {
                return rate.at(t, tenant);
            }

            @Override
            public double completed(double t, String tenant, String type) {
                return completed.at(t, tenant, type);
            }
        };
    }

    @DataProvider
    Object[][] harmless() {
        return new Object[][] {
            {"nothing happens", day(0.98)},
            {"service is poor, before and after", day(0.7)},
            {
                "traffic ebbs to a twentieth",
                of((t, c) -> usual(c) * (t < 0 ? 1 : 0.05), (t, c, y) -> 0.97)
            },
            {"traffic stops", of((t, c) -> t < 0 ? usual(c) : 0, (t, c, y) -> 0.97)},
            {
                "one tenant floods and fails by it",
                of(
                        (t, c) -> usual(c) * (t > 5 && c.equals("bolt") ? 8 : 1),
                        (t, c, y) -> t > 5 && c.equals("bolt") ? 0.3 : 0.98)
            },
            {
                "trouble that began before goes on",
                of((t, c) -> usual(c), (t, c, y) -> t < -20 ? 0.98 : 0.6)
            },
            {"service rises", of((t, c) -> usual(c), (t, c, y) -> t < 0 ? 0.8 : 0.99)},
        };
    }

    @Test(dataProvider = "harmless")
    public void harmlessChangeIsNeverRolledBack(String what, Day day) {
        for (long seed = 0; seed < 40; seed++) {
            HealthWatch.Verdict verdict = play(day, seed);
            assertTrue(
                    !(verdict instanceof HealthWatch.Verdict.Degraded),
                    what + ", seed " + seed + ": " + verdict);
        }
    }

    @DataProvider
    Object[][] harmful() {
        return new Object[][] {
            // what, the day, the latest time at which it is found, in seconds
            {"half of all fails", of((t, c) -> usual(c), (t, c, y) -> t < 0 ? 0.98 : 0.5), 4.0},
            {
                "the biggest tenant is rejected",
                of((t, c) -> usual(c), (t, c, y) -> t >= 0 && c.equals("acme") ? 0.15 : 0.98),
                4.0
            },
            {
                "one query class is late",
                of((t, c) -> usual(c), (t, c, y) -> t >= 0 && y.equals("stamps") ? 0.3 : 0.98),
                15.0
            },
            {
                "a tenth of all fails",
                of((t, c) -> usual(c), (t, c, y) -> t < 0 ? 0.98 : 0.86),
                40.0
            },
            {
                "three percent a minute fail more",
                of(
                        (t, c) -> usual(c),
                        (t, c, y) -> t < 0 ? 0.98 : Math.max(0, 0.98 - 0.03 * t / 60)),
                300.0
            },
        };
    }

    @Test(dataProvider = "harmful")
    public void harmIsFoundInTime(String what, Day day, double latest) {
        for (long seed = 0; seed < 40; seed++) {
            HealthWatch.Verdict verdict = play(day, seed);
            assertTrue(
                    verdict instanceof HealthWatch.Verdict.Degraded,
                    what + ", seed " + seed + ": " + verdict);
            assertTrue(at <= latest, what + ", seed " + seed + ": found after " + at + " s");
        }
    }

    @Test
    public void bettingTestKeepsItsStatedRateOfFalseAlarms() {
        int alarms = 0;
        int plays = 4000;
        var random = new Random(8);
        for (int play = 0; play < plays; play++) {
            var test = new BettingTest(0.9);
            // The mean is just the bound: the hardest case that must not alarm.
            for (int i = 0; i < 400; i++) {
                test.add(random.nextDouble() < 0.9 ? 1 : 0);
            }
            alarms += test.meanIsBelowBound(0.05) ? 1 : 0;
        }
        assertTrue(alarms <= 0.05 * plays, alarms + " of " + plays);
        assertTrue(alarms > 0, "a test that never alarms finds nothing either");
    }

    @Test
    public void clockThatStepsNeitherEndsTheWatchNorHoldsItUp() {
        var random = new Random(1);
        var baseline = new Baseline();
        for (double t = -60; t < 0; t += 0.25) {
            baseline.add(window(day(0.98), t, random));
        }
        var watch = new HealthWatch(baseline, 1_000_000, 5000, 10);
        // An hour ahead at once.
        TimeWindow jumped = window(day(0.98), 3600, random);
        assertEquals(watch.add(jumped), new HealthWatch.Verdict.Pending());
        HealthWatch.Verdict verdict = new HealthWatch.Verdict.Pending();
        for (int i = 1; i < 100 && verdict instanceof HealthWatch.Verdict.Pending; i++) {
            verdict = watch.add(window(day(0.98), (i == 50 ? -3600 : 3600) + i * 0.25, random));
        }
        assertTrue(verdict instanceof HealthWatch.Verdict.Healthy, verdict.toString());
    }
}
