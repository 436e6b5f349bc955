package sprucehold.change.watch;

import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/**
 * Watches service after a version went live, and says whether it fell. Each stratum with enough
 * scans before is tested by itself against what it did before, less what chance may have made of
 * that and a tolerance. All tests together raise a false alarm with a chance of at most {@link
 * #FALSE_ALARMS}, as long as service is no worse than it was in its worst stretch before.
 */
public final class HealthWatch {
    /** One change in a thousand undone for nothing: an operator makes some ten a week. */
    public static final double FALSE_ALARMS = 0.001;

    /** Service may fall by so much without a word: what a day's ups and downs do. */
    private static final double TOLERANCE = 0.02;

    /** A customer or table type with fewer scans before is judged among all the others alone. */
    private static final long LEAST_SCANS = 60;

    /** Of the chance of a false alarm, half is for all scans together, where a harm shows best. */
    private static final double FOR_ALL = 0.5;

    /** A stratum that asks this much more than before fails by its own flood, not by the change. */
    private static final double FLOOD = 1.5;

    /** A flood is told from chance by so many standard errors of the count. */
    private static final double FLOOD_ERRORS = 4;

    private final Map<TimeWindow.Segment, Tested> tested = new HashMap<>();
    private final double begunMs;
    private final double confirmAfterMs;
    private final long leastScans;
    private double latestMs;
    private double watchedMs;
    private long scans;

    private static final class Tested {
        final BettingTest test;
        final double alpha;
        final Baseline.Usual before;
        TimeWindow.Service service = new TimeWindow.Service(0, 0, 0);

        Tested(BettingTest test, double alpha, Baseline.Usual before) {
            this.test = test;
            this.alpha = alpha;
            this.before = before;
        }
    }

    /** What the watch says. */
    public sealed interface Word {
        /** Nothing yet. */
        record Wait() implements Word {}

        /** Service fell. */
        record Fell(TimeWindow.Segment of, String grounds) implements Word {}

        /** Service held for as long as it is looked at. */
        record Held(String grounds) implements Word {}
    }

    /**
     * Begins a watch.
     *
     * @param before service until now
     * @param confirmAfterMs how long it is looked at, in milliseconds
     * @param leastScans and how many scans it takes at least: where none come nothing was seen
     */
    public HealthWatch(Baseline before, double nowMs, double confirmAfterMs, long leastScans) {
        this.begunMs = nowMs;
        this.latestMs = nowMs;
        this.confirmAfterMs = confirmAfterMs;
        this.leastScans = leastScans;
        Map<TimeWindow.Segment, Baseline.Usual> usual = before.usual();
        long others =
                usual.entrySet().stream()
                        .filter(
                                of ->
                                        !of.getKey().equals(TimeWindow.Segment.ALL)
                                                && of.getValue().scans() >= LEAST_SCANS)
                        .count();
        usual.forEach(
                (stratum, of) -> {
                    boolean all = stratum.equals(TimeWindow.Segment.ALL);
                    if (of.scans() >= LEAST_SCANS) {
                        // Two standard errors of a share: the one before is itself only seen by
                        // chance.
                        double error =
                                2
                                        * Math.sqrt(
                                                Math.max(0.01, of.worst() * (1 - of.worst()))
                                                        / Math.max(
                                                                1,
                                                                Math.min(
                                                                        of.scans(),
                                                                        10 * of.scansPerSecond())));
                        double bound = of.worst() - TOLERANCE - error;
                        if (bound > 0.05) {
                            double alpha =
                                    FALSE_ALARMS
                                            * (all ? FOR_ALL : (1 - FOR_ALL) / Math.max(1, others));
                            tested.put(stratum, new Tested(new BettingTest(bound), alpha, of));
                        }
                    }
                });
    }

    /** Takes the service of the next stretch of time. */
    public Word add(TimeWindow slot) {
        // A clock that steps must neither end the watch at once nor hold it up: only plausible
        // steps count.
        double passed = slot.endsMs() - latestMs;
        watchedMs += passed > 0 && passed < 10_000 ? passed : 0;
        latestMs = slot.endsMs();
        TimeWindow.Service all = slot.service().get(TimeWindow.Segment.ALL);
        scans += all == null ? 0 : all.scans();
        for (var of : tested.entrySet()) {
            TimeWindow.Service service = slot.service().get(of.getKey());
            if (service == null || service.scans() == 0) {
                // Nobody asked: traffic that ebbs tells nothing.
                continue;
            }
            Tested one = of.getValue();
            one.service = one.service.plus(service);
            // One value a slot, however many scans: those of one moment fail together, and counting
            // each would take
            // one mishap for many.
            one.test.add(service.share());
        }
        for (var of : tested.entrySet()) {
            Tested one = of.getValue();
            if (one.test.under(one.alpha) && !flooded(one) && !madeByFloods(of.getKey())) {
                return new Word.Fell(
                        of.getKey(),
                        String.format(
                                Locale.ROOT,
                                "%s: %.1f%% in target time after %.1f s, " + "%.1f%% before",
                                of.getKey(),
                                100 * one.service.share(),
                                watchedMs / 1000,
                                100 * one.before.mean()));
            }
        }
        if (watchedMs >= confirmAfterMs && scans >= leastScans) {
            return new Word.Held(
                    String.format(Locale.ROOT, "%d scans in %.0f s", scans, watchedMs / 1000));
        }
        return new Word.Wait();
    }

    private boolean flooded(Tested one) {
        double expected = one.before.scansPerSecond() * Math.max(1, watchedMs / 1000);
        return one.service.scans() > FLOOD * expected + FLOOD_ERRORS * Math.sqrt(expected + 1);
    }

    /**
     * Whether all scans together fell only by customers that flood: then each other customer that
     * is tested still does as before.
     */
    private boolean madeByFloods(TimeWindow.Segment stratum) {
        if (stratum.kind() == TimeWindow.Segment.Kind.CUSTOMER) {
            return false;
        }
        boolean anyFlood = false;
        double asked = 0;
        double earned = 0;
        double usual = 0;
        for (var of : tested.entrySet()) {
            if (of.getKey().kind() == TimeWindow.Segment.Kind.CUSTOMER) {
                if (flooded(of.getValue())) {
                    anyFlood = true;
                } else {
                    asked += of.getValue().service.asked();
                    earned += of.getValue().service.earned();
                    usual += of.getValue().service.asked() * of.getValue().before.worst();
                }
            }
        }
        return anyFlood && (asked == 0 || earned >= usual - TOLERANCE * asked);
    }

    /** When it began, by the clock that slots are told in. */
    public double begunMs() {
        return begunMs;
    }
}
