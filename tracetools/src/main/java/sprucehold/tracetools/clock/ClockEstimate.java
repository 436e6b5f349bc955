package sprucehold.tracetools.clock;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import sprucehold.trace.event.ClockFit;

/**
 * Fits each source's clock to one reference by a robust line through what both saw: the median
 * slope of pairs (Theil, "A rank-invariant method of linear and polynomial regression analysis",
 * 1950; Sen, 1968) and the median of what is left. Sources that share nothing with the reference
 * are fitted over others that do, the best shared first.
 */
public final class ClockEstimate {
    /** Pairs looked at for a slope: all of some 450 points, evenly spread ones of more. */
    private static final int MOST_PAIRS = 100_000;

    /** Points nearer to each other than this say more of delays than of drift. */
    private static final double LEAST_SPAN_MS = 60_000;

    /** With fewer points in common there is no telling drift from delay. */
    private static final int LEAST_FOR_DRIFT = 8;

    private ClockEstimate() {}

    /**
     * One change as two sources saw it: when the one did, and how much later the other's clock
     * showed.
     */
    private record Pair(double at, double ahead) {}

    /**
     * @param ids the sources' ids; the fits don't depend on the order in which sources come
     * @return for each source its fit: the reference's is {@link ClockFit#REFERENCE}, that of a
     *     source that shares nothing with any other {@link ClockFit#UNKNOWN}
     */
    public static List<ClockFit> fit(List<String> ids, List<EndpointSightings> sightings) {
        int n = ids.size();
        Integer[] order = new Integer[n];
        Arrays.setAll(order, i -> i);
        Arrays.sort(order, Comparator.comparing(ids::get));
        int[][] shared = new int[n][n];
        for (int a : order) {
            for (int b : order) {
                if (a != b) {
                    shared[a][b] =
                            (int)
                                    sightings.get(a).seen().keySet().stream()
                                            .filter(sightings.get(b).seen()::containsKey)
                                            .count();
                }
            }
        }
        ClockFit[] fits = new ClockFit[n];
        // The one that shares most with all others is the reference.
        int reference = order.length == 0 ? -1 : order[0];
        for (int i : order) {
            reference =
                    Arrays.stream(shared[i]).sum() > Arrays.stream(shared[reference]).sum()
                            ? i
                            : reference;
        }
        if (reference >= 0) {
            fits[reference] = ClockFit.REFERENCE;
        }
        // A tree of the best shared pairs, grown from the reference.
        while (true) {
            int from = -1;
            int to = -1;
            for (int a : order) {
                for (int b : order) {
                    if (fits[a] != null
                            && fits[b] == null
                            && shared[a][b] > 0
                            && (from < 0 || shared[a][b] > shared[from][to])) {
                        from = a;
                        to = b;
                    }
                }
            }
            if (from < 0) {
                break;
            }
            fits[to] = joined(fits[from], line(sightings.get(from), sightings.get(to)));
        }
        var all = new ArrayList<ClockFit>();
        for (ClockFit fit : fits) {
            all.add(fit == null ? ClockFit.UNKNOWN : fit);
        }
        return all;
    }

    /** The clock of {@code of} against that of {@code to}. */
    private static ClockFit line(EndpointSightings to, EndpointSightings of) {
        var pairs = new ArrayList<Pair>();
        to.seen()
                .forEach(
                        (change, at) -> {
                            Double other = of.seen().get(change);
                            if (other != null) {
                                pairs.add(new Pair(other, other - at));
                            }
                        });
        pairs.sort(Comparator.comparingDouble(Pair::at).thenComparingDouble(Pair::ahead));
        double slope = pairs.size() < LEAST_FOR_DRIFT ? 0 : slope(pairs);
        // Held at the middle of what was seen, where the line is best known.
        double middle = pairs.get(pairs.size() / 2).at;
        double[] rest =
                pairs.stream()
                        .mapToDouble(pair -> pair.ahead - slope * (pair.at - middle))
                        .sorted()
                        .toArray();
        double offset = median(rest);
        double[] off = Arrays.stream(rest).map(r -> Math.abs(r - offset)).sorted().toArray();
        // Nine tenths of what was seen lie within it; delays that always favour one side can't be
        // seen at all.
        double error = off[(int) Math.ceil(0.9 * off.length) - 1];
        // One point alone has nothing to differ from: a second is what news of the list may well
        // take.
        return new ClockFit(middle, offset, 1e6 * slope, off.length == 1 ? 1000 : error);
    }

    private static double slope(List<Pair> pairs) {
        long all = (long) pairs.size() * (pairs.size() - 1) / 2;
        long step = Math.max(1, all / MOST_PAIRS);
        var slopes = new ArrayList<Double>();
        long count = 0;
        for (int i = 0; i < pairs.size(); i++) {
            for (int j = i + 1; j < pairs.size(); j++) {
                double span = pairs.get(j).at - pairs.get(i).at;
                if (count++ % step == 0 && span >= LEAST_SPAN_MS) {
                    slopes.add((pairs.get(j).ahead - pairs.get(i).ahead) / span);
                }
            }
        }
        return slopes.isEmpty()
                ? 0
                : median(slopes.stream().mapToDouble(s -> s).sorted().toArray());
    }

    private static double median(double[] sorted) {
        int n = sorted.length;
        return n % 2 == 1 ? sorted[n / 2] : (sorted[n / 2 - 1] + sorted[n / 2]) / 2;
    }

    /** A fit against a source that is itself fitted to the reference. */
    private static ClockFit joined(ClockFit base, ClockFit onto) {
        if (base.equals(ClockFit.REFERENCE)) {
            return onto;
        }
        double at = onto.atMs() - onto.offsetMs();
        double offset = onto.offsetMs() + (at - base.corrected(at));
        return new ClockFit(
                onto.atMs(),
                offset,
                onto.driftPpm() + base.driftPpm(),
                onto.errorMs() + base.errorMs());
    }

    /** A fit in words. */
    public static String words(ClockFit fit) {
        if (fit.equals(ClockFit.REFERENCE)) {
            return "the clock that others are judged by";
        }
        if (Double.isInfinite(fit.errorMs())) {
            return "nothing is known of its clock: it shares no news with the others";
        }
        return String.format(
                Locale.ROOT,
                "%+.1f ms ahead, give or take %.1f ms, drifting %+.2f ppm",
                fit.offsetMs(),
                fit.errorMs(),
                fit.driftPpm());
    }
}
