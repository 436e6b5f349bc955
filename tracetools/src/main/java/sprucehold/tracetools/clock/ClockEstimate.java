package sprucehold.tracetools.clock;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import sprucehold.trace.event.ClockFit;

/**
 * Fits each source's clock to one reference clock by a robust line through the endpoint changes
 * that both sources saw. The slope of the line is the median slope of pairs of points (Theil, "A
 * rank-invariant method of linear and polynomial regression analysis", 1950; Sen, 1968), and its
 * offset is the median of the residuals. A source that shares no change with the reference is
 * fitted by way of other sources. Pairs of sources that share the most changes are fitted first.
 */
public final class ClockEstimate {
    /**
     * Target number of pairs of points that a slope is computed from. With fewer than twice as many
     * pairs, that is up to 632 points, all pairs are examined. With more, evenly spread pairs are
     * examined: at least this number and fewer than twice as many.
     */
    private static final int TARGET_PAIRS = 100_000;

    /**
     * Minimum time between the points of a pair, in milliseconds. The slope between nearer points
     * is due to delays more than to drift.
     */
    private static final double MIN_SPAN_MS = 60_000;

    /**
     * Minimum number of shared changes for an estimate of the drift. With fewer, drift can't be
     * distinguished from delays.
     */
    private static final int MIN_DRIFT_POINTS = 8;

    private ClockEstimate() {}

    /**
     * A change that two sources saw.
     *
     * @param at time at which the fitted source saw it, by its own clock in milliseconds
     * @param ahead that time minus the time at which the other source saw it by its own clock, in
     *     milliseconds
     */
    private record Point(double at, double ahead) {}

    /**
     * Returns the fit of each source.
     *
     * @param ids the sources' ids; the fits don't depend on the order of the sources
     * @param sightings the changes that each source saw, in the order of the ids
     * @return the fits in the order of the ids: {@link ClockFit#REFERENCE} for the reference, and
     *     {@link ClockFit#UNKNOWN} for a source that can't be connected to it by shared changes
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
                                    sightings.get(a).firstSeenMs().keySet().stream()
                                            .filter(sightings.get(b).firstSeenMs()::containsKey)
                                            .count();
                }
            }
        }
        ClockFit[] fits = new ClockFit[n];
        // The source that shares the most changes with all others is the reference.
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
        // Builds a spanning tree from the reference. Each step fits the unfitted source that shares
        // the most changes with a fitted one.
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
            fits[to] = chain(fits[from], fitLine(sightings.get(from), sightings.get(to)));
        }
        var result = new ArrayList<ClockFit>();
        for (ClockFit fit : fits) {
            result.add(fit == null ? ClockFit.UNKNOWN : fit);
        }
        return result;
    }

    /** Fits the clock of {@code fitted} to that of {@code base}. */
    private static ClockFit fitLine(EndpointSightings base, EndpointSightings fitted) {
        var points = new ArrayList<Point>();
        base.firstSeenMs()
                .forEach(
                        (change, baseMs) -> {
                            Double fittedMs = fitted.firstSeenMs().get(change);
                            if (fittedMs != null) {
                                points.add(new Point(fittedMs, fittedMs - baseMs));
                            }
                        });
        points.sort(Comparator.comparingDouble(Point::at).thenComparingDouble(Point::ahead));
        double slope = points.size() < MIN_DRIFT_POINTS ? 0 : slope(points);
        // The offset is given for the middle of the points, where the line is most accurate.
        double middle = points.get(points.size() / 2).at;
        double[] residuals =
                points.stream()
                        .mapToDouble(point -> point.ahead - slope * (point.at - middle))
                        .sorted()
                        .toArray();
        double offset = median(residuals);
        double[] deviations =
                Arrays.stream(residuals).map(r -> Math.abs(r - offset)).sorted().toArray();
        // Nine tenths of the points deviate by at most this error. A delay that is always longer
        // for one of the two sources can't be detected.
        double error = deviations[(int) Math.ceil(0.9 * deviations.length) - 1];
        // A single point has no deviation. Its error is set to 1 s, since an endpoint update may
        // well take that long.
        return new ClockFit(middle, offset, 1e6 * slope, deviations.length == 1 ? 1000 : error);
    }

    private static double slope(List<Point> points) {
        long all = (long) points.size() * (points.size() - 1) / 2;
        long step = Math.max(1, all / TARGET_PAIRS);
        var slopes = new ArrayList<Double>();
        long count = 0;
        for (int i = 0; i < points.size(); i++) {
            for (int j = i + 1; j < points.size(); j++) {
                double span = points.get(j).at - points.get(i).at;
                if (count++ % step == 0 && span >= MIN_SPAN_MS) {
                    slopes.add((points.get(j).ahead - points.get(i).ahead) / span);
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

    /**
     * Returns the fit of a source to the reference.
     *
     * @param base fit of another source to the reference
     * @param fit fit of the source to that other source
     */
    private static ClockFit chain(ClockFit base, ClockFit fit) {
        if (base.equals(ClockFit.REFERENCE)) {
            return fit;
        }
        double at = fit.atMs() - fit.offsetMs();
        double offset = fit.offsetMs() + (at - base.corrected(at));
        return new ClockFit(
                fit.atMs(),
                offset,
                fit.driftPpm() + base.driftPpm(),
                fit.errorMs() + base.errorMs());
    }

    /** Returns the description of a fit. */
    public static String describe(ClockFit fit) {
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
