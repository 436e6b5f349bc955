package sprucehold.benchmarks;

import java.util.Arrays;
import java.util.Locale;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import sprucehold.change.watch.Baseline;
import sprucehold.change.watch.HealthWatch;
import sprucehold.change.watch.TimeWindow;

/**
 * Simulates synthetic days in virtual time and counts how often the health watch rolls a change
 * back, for harmless changes (false positives) and for harmful changes. Argument: number of days of
 * each kind.
 */
public final class WatchDays {
    private static final double SLOT_S = 0.25;
    private static final double WATCH_S = 300;
    private static final String[] CUSTOMERS = {"acme", "bolt", "cog"};
    private static final double[] RATES = {50, 20, 8};

    private WatchDays() {}

    /**
     * Kind of a day: whether shard servers fail on their own, and the share of queries that the
     * change makes fail. On EBB days the load also falls after the change.
     */
    private enum Kind {
        CALM(false, 0),
        EBB(false, 0),
        TROUBLED(true, 0),
        HARM_2(false, 0.02),
        HARM_5(false, 0.05),
        HARM_10(false, 0.1),
        HARM_50(false, 0.5),
        TROUBLED_HARM_10(true, 0.1);

        final boolean serverFailures;
        final double harmedShare;

        Kind(boolean serverFailures, double harmedShare) {
            this.serverFailures = serverFailures;
            this.harmedShare = harmedShare;
        }
    }

    public static void main(String[] args) {
        int days = args.length == 0 ? 2000 : Integer.parseInt(args[0]);
        System.out.println("kind              days  undone  median s  p95 s");
        for (Kind kind : Kind.values()) {
            double[] rollbackTimes =
                    IntStream.range(0, days)
                            .parallel()
                            .mapToDouble(seed -> simulate(kind, seed))
                            .filter(at -> at >= 0)
                            .sorted()
                            .toArray();
            System.out.printf(
                    Locale.ROOT,
                    "%-16s %5d  %6d  %8s  %5s%n",
                    kind,
                    days,
                    rollbackTimes.length,
                    at(rollbackTimes, 0.5),
                    at(rollbackTimes, 0.95));
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

    /**
     * Returns the time from activation to rollback of the change in seconds, or -1 if the change
     * was not rolled back.
     */
    private static double simulate(Kind kind, int seed) {
        var random = new SplittableRandom(seed * 31L + kind.ordinal());
        double[] failedShare = new double[(int) ((120 + WATCH_S) / SLOT_S) + 400];
        if (kind.serverFailures) {
            // Failures of shard servers that the change does not cause: one in 5 minutes on
            // average, lasting 5 to 30 s, in which 10 to 33 % of the queries fail.
            for (double t = nextFailureInterval(random);
                    t < 120 + WATCH_S;
                    t += nextFailureInterval(random)) {
                int from = (int) (t / SLOT_S);
                int to = from + (int) ((5 + 25 * random.nextDouble()) / SLOT_S);
                Arrays.fill(
                        failedShare,
                        Math.min(from, failedShare.length),
                        Math.min(to, failedShare.length),
                        0.1 + 0.23 * random.nextDouble());
            }
        }
        var baseline = new Baseline();
        HealthWatch watch = null;
        for (int i = 0; i < failedShare.length; i++) {
            double t = i * SLOT_S - 120;
            double healthyShare =
                    Math.max(0, 0.98 - failedShare[i] - (t >= 0 ? kind.harmedShare : 0));
            double rate = kind == Kind.EBB && t >= 0 ? Math.max(0.05, 1 - t / 100) : 1;
            TimeWindow slot = slot(random, healthyShare, rate, (t + 1000) * 1000);
            if (t < 0) {
                baseline.add(slot);
                continue;
            }
            watch =
                    watch == null
                            ? new HealthWatch(baseline, (t + 1000) * 1000, WATCH_S * 1000, 100)
                            : watch;
            HealthWatch.Verdict verdict = watch.add(slot);
            if (verdict instanceof HealthWatch.Verdict.Degraded) {
                return t;
            } else if (verdict instanceof HealthWatch.Verdict.Healthy) {
                return -1;
            }
        }
        return -1;
    }

    private static double nextFailureInterval(SplittableRandom random) {
        return -300 * Math.log(1 - random.nextDouble());
    }

    private static TimeWindow slot(
            SplittableRandom random, double healthyShare, double rate, double endsMs) {
        var builder = new TimeWindow.Builder();
        for (int customer = 0; customer < CUSTOMERS.length; customer++) {
            double expected = RATES[customer] * rate * SLOT_S;
            int scans = (int) expected + (random.nextDouble() < expected - (int) expected ? 1 : 0);
            for (int i = 0; i < scans; i++) {
                builder.add(
                        random.nextInt(4) == 0 ? "stamps" : "offers",
                        CUSTOMERS[customer],
                        1,
                        random.nextDouble() < healthyShare);
            }
        }
        return builder.endWindow(endsMs);
    }
}
