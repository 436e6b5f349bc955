package sprucehold.benchmarks;

import java.util.Arrays;
import java.util.Locale;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import sprucehold.change.watch.Baseline;
import sprucehold.change.watch.HealthWatch;
import sprucehold.change.watch.TimeWindow;

/**
 * Plays synthetic days in virtual time and counts how often a change is undone: for nothing, and
 * for a harm. Argument: days of each kind.
 */
public final class WatchDays {
    private static final double SLOT_S = 0.25;
    private static final double WATCH_S = 300;
    private static final String[] CUSTOMERS = {"acme", "bolt", "cog"};
    private static final double[] RATES = {50, 20, 8};

    private WatchDays() {}

    /** What happens on a day beside the change. */
    private enum Kind {
        CALM(false, 0),
        EBB(false, 0),
        TROUBLED(true, 0),
        HARM_2(false, 0.02),
        HARM_5(false, 0.05),
        HARM_10(false, 0.1),
        HARM_50(false, 0.5),
        TROUBLED_HARM_10(true, 0.1);

        final boolean troubles;
        final double harm;

        Kind(boolean troubles, double harm) {
            this.troubles = troubles;
            this.harm = harm;
        }
    }

    public static void main(String[] args) {
        int days = args.length == 0 ? 2000 : Integer.parseInt(args[0]);
        System.out.println("kind              days  undone  median s  p95 s");
        for (Kind kind : Kind.values()) {
            double[] found =
                    IntStream.range(0, days)
                            .parallel()
                            .mapToDouble(seed -> play(kind, seed))
                            .filter(at -> at >= 0)
                            .sorted()
                            .toArray();
            System.out.printf(
                    Locale.ROOT,
                    "%-16s %5d  %6d  %8s  %5s%n",
                    kind,
                    days,
                    found.length,
                    at(found, 0.5),
                    at(found, 0.95));
        }
    }

    private static String at(double[] sorted, double share) {
        return sorted.length == 0
                ? ""
                : String.format(
                        Locale.ROOT,
                        "%.1f",
                        sorted[Math.min(sorted.length - 1, (int) (share * sorted.length))]);
    }

    /** When the change was undone, in seconds after it went live; -1 where it was confirmed. */
    private static double play(Kind kind, int seed) {
        var random = new SplittableRandom(seed * 31L + kind.ordinal());
        double[] trouble = new double[(int) ((120 + WATCH_S) / SLOT_S) + 400];
        if (kind.troubles) {
            // Servers' own troubles: one in five minutes as a mean, for 5 to 30 s, taking a tenth
            // to a third.
            for (double t = gap(random); t < 120 + WATCH_S; t += gap(random)) {
                int from = (int) (t / SLOT_S);
                int to = from + (int) ((5 + 25 * random.nextDouble()) / SLOT_S);
                Arrays.fill(
                        trouble,
                        Math.min(from, trouble.length),
                        Math.min(to, trouble.length),
                        0.1 + 0.23 * random.nextDouble());
            }
        }
        var before = new Baseline();
        HealthWatch watch = null;
        for (int i = 0; i < trouble.length; i++) {
            double t = i * SLOT_S - 120;
            double sound = Math.max(0, 0.98 - trouble[i] - (t >= 0 ? kind.harm : 0));
            double rate = kind == Kind.EBB && t >= 0 ? Math.max(0.05, 1 - t / 100) : 1;
            TimeWindow slot = slot(random, sound, rate, (t + 1000) * 1000);
            if (t < 0) {
                before.add(slot);
                continue;
            }
            watch =
                    watch == null
                            ? new HealthWatch(before, (t + 1000) * 1000, WATCH_S * 1000, 100)
                            : watch;
            HealthWatch.Verdict word = watch.add(slot);
            if (word instanceof HealthWatch.Verdict.Degraded) {
                return t;
            } else if (word instanceof HealthWatch.Verdict.Healthy) {
                return -1;
            }
        }
        return -1;
    }

    private static double gap(SplittableRandom random) {
        return -300 * Math.log(1 - random.nextDouble());
    }

    private static TimeWindow slot(
            SplittableRandom random, double sound, double rate, double endsMs) {
        var builder = new TimeWindow.Builder();
        for (int c = 0; c < CUSTOMERS.length; c++) {
            double expected = RATES[c] * rate * SLOT_S;
            int scans = (int) expected + (random.nextDouble() < expected - (int) expected ? 1 : 0);
            for (int i = 0; i < scans; i++) {
                builder.add(
                        random.nextInt(4) == 0 ? "stamps" : "offers",
                        CUSTOMERS[c],
                        1,
                        random.nextDouble() < sound);
            }
        }
        return builder.take(endsMs);
    }
}
