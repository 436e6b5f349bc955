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
    private static final double SLOT_MS = 250;
    private static final double CONFIRM_MS = 300_000;

    /** What a day does; times in seconds since the change went live, negative before. */
    private interface Day {
        /** Scans a second of a customer. */
        double rate(double t, String customer);

        /** The chance that a scan is answered in target time. */
        double sound(double t, String customer, String type);
    }

    private static final String[] CUSTOMERS = {"acme", "bolt", "cog"};
    private static final double[] RATES = {50, 20, 8};

    private static HealthWatch.Verdict play(Day day, long seed) {
        var random = new Random(seed);
        var before = new Baseline();
        double t = -120;
        while (t < 0) {
            before.add(slot(day, t, random));
            t += SLOT_MS / 1000;
        }
        var watch = new HealthWatch(before, 0, CONFIRM_MS, 100);
        for (t = 0; t < CONFIRM_MS / 1000 + 60; t += SLOT_MS / 1000) {
            HealthWatch.Verdict word = watch.add(slot(day, t, random));
            if (!(word instanceof HealthWatch.Verdict.Pending)) {
                at = t;
                return word;
            }
        }
        return new HealthWatch.Verdict.Pending();
    }

    private static double at;

    private static TimeWindow slot(Day day, double t, Random random) {
        var builder = new TimeWindow.Builder();
        for (int c = 0; c < CUSTOMERS.length; c++) {
            double expected = day.rate(t, CUSTOMERS[c]) * SLOT_MS / 1000;
            int scans = (int) expected + (random.nextDouble() < expected - (int) expected ? 1 : 0);
            for (int i = 0; i < scans; i++) {
                String type = random.nextInt(4) == 0 ? "stamps" : "offers";
                builder.add(
                        type,
                        CUSTOMERS[c],
                        1,
                        random.nextDouble() < day.sound(t, CUSTOMERS[c], type));
            }
        }
        return builder.take((t + 1000) * 1000);
    }

    private static double usual(String customer) {
        for (int i = 0; i < CUSTOMERS.length; i++) {
            if (CUSTOMERS[i].equals(customer)) {
                return RATES[i];
            }
        }
        return 0;
    }

    private static Day day(double sound) {
        return of((t, customer) -> usual(customer), (t, customer, type) -> sound);
    }

    private interface Rate {
        double at(double t, String customer);
    }

    private interface Sound {
        double at(double t, String customer, String type);
    }

    private static Day of(Rate rate, Sound sound) {
        return new Day() {
            @Override
            public double rate(double t, String customer) {
                return rate.at(t, customer);
            }

            @Override
            public double sound(double t, String customer, String type) {
                return sound.at(t, customer, type);
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
                "one customer floods and fails by it",
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
    public void changeThatDoesNoHarmIsNeverUndone(String what, Day day) {
        for (long seed = 0; seed < 40; seed++) {
            HealthWatch.Verdict word = play(day, seed);
            assertTrue(
                    !(word instanceof HealthWatch.Verdict.Degraded),
                    what + ", seed " + seed + ": " + word);
        }
    }

    @DataProvider
    Object[][] harmful() {
        return new Object[][] {
            // what, the day, the latest time at which it is found, in seconds
            {"half of all fails", of((t, c) -> usual(c), (t, c, y) -> t < 0 ? 0.98 : 0.5), 4.0},
            {
                "the biggest customer is throttled",
                of((t, c) -> usual(c), (t, c, y) -> t >= 0 && c.equals("acme") ? 0.15 : 0.98),
                4.0
            },
            {
                "one table type comes late",
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
            HealthWatch.Verdict word = play(day, seed);
            assertTrue(
                    word instanceof HealthWatch.Verdict.Degraded,
                    what + ", seed " + seed + ": " + word);
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
        var before = new Baseline();
        for (double t = -60; t < 0; t += 0.25) {
            before.add(slot(day(0.98), t, random));
        }
        var watch = new HealthWatch(before, 1_000_000, 5000, 10);
        // An hour ahead at once.
        TimeWindow jumped = slot(day(0.98), 3600, random);
        assertEquals(watch.add(jumped), new HealthWatch.Verdict.Pending());
        HealthWatch.Verdict word = new HealthWatch.Verdict.Pending();
        for (int i = 1; i < 100 && word instanceof HealthWatch.Verdict.Pending; i++) {
            word = watch.add(slot(day(0.98), (i == 50 ? -3600 : 3600) + i * 0.25, random));
        }
        assertTrue(word instanceof HealthWatch.Verdict.Healthy, word.toString());
    }
}
