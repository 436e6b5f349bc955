package sprucehold.change.watch;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import sprucehold.change.watch.TimeWindow.Segment;
import sprucehold.change.watch.TimeWindow.ServiceLevel;

/**
 * Service of the last minutes, kept at all times so that it is known when a version goes live. What
 * a watch expects of a segment is its worst recent interval rather than its mean: a fault that
 * began before a change must not be held against the change.
 */
public final class Baseline {
    /** Length of the baseline; covers several oscillations of a typical fault. */
    private static final double LENGTH_MS = 120_000;

    /** Length of the intervals of which the worst counts; in shorter ones chance prevails. */
    private static final double INTERVAL_MS = 10_000;

    /** An interval with fewer queries doesn't count. */
    private static final long MIN_INTERVAL_QUERIES = 20;

    /** Shortest time over which the rate of queries is computed. */
    private static final double MIN_SPAN_MS = 1000;

    private static final double MS_PER_SECOND = 1000;

    private final ArrayDeque<TimeWindow> windows = new ArrayDeque<>();

    /**
     * Service of one segment within the baseline.
     *
     * @param meanLevel the service level over all of it, from 0 to 1
     * @param worstLevel the service level in its worst interval, from 0 to 1
     * @param queriesPerSecond the rate of queries
     * @param queries the number of queries
     */
    record Statistics(double meanLevel, double worstLevel, double queriesPerSecond, long queries) {}

    /** Takes the next time window. */
    public void add(TimeWindow window) {
        // After a clock that went back nothing can be compared.
        if (!windows.isEmpty() && window.endsMs() < windows.peekLast().endsMs()) {
            windows.clear();
        }
        windows.add(window);
        while (windows.peek().endsMs() < window.endsMs() - LENGTH_MS) {
            windows.poll();
        }
    }

    /** The statistics of each segment; empty if nothing was seen. */
    Map<Segment, Statistics> statistics() {
        if (windows.isEmpty()) {
            return Map.of();
        }
        double endMs = windows.peekLast().endsMs();
        double spanMs = Math.max(MIN_SPAN_MS, endMs - windows.peek().endsMs());
        Map<Segment, ServiceLevel> totals = new HashMap<>();
        Map<Segment, Map<Long, ServiceLevel>> intervals = new HashMap<>();
        for (TimeWindow window : windows) {
            // Counted back from the end, so that the latest interval is a whole one.
            long interval = (long) ((endMs - window.endsMs()) / INTERVAL_MS);
            window.levels()
                    .forEach(
                            (segment, level) -> {
                                totals.merge(segment, level, ServiceLevel::plus);
                                intervals
                                        .computeIfAbsent(segment, none -> new HashMap<>())
                                        .merge(interval, level, ServiceLevel::plus);
                            });
        }
        Map<Segment, Statistics> statistics = new HashMap<>();
        totals.forEach(
                (segment, total) ->
                        statistics.put(
                                segment,
                                new Statistics(
                                        total.fraction(),
                                        worstLevel(intervals.get(segment), total),
                                        total.queries() * MS_PER_SECOND / spanMs,
                                        total.queries())));
        return statistics;
    }

    private static double worstLevel(Map<Long, ServiceLevel> intervals, ServiceLevel total) {
        return intervals.values().stream()
                .filter(level -> level.queries() >= MIN_INTERVAL_QUERIES)
                .mapToDouble(ServiceLevel::fraction)
                .min()
                .orElse(total.fraction());
    }
}
