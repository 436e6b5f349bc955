package sprucehold.change.watch;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import sprucehold.change.watch.TimeWindow.Segment;
import sprucehold.change.watch.TimeWindow.ServiceLevel;

/**
 * Service level of the last two minutes, recorded at all times so that a baseline is available when
 * a version goes live. A watch compares a segment with its worst recent interval rather than its
 * mean, so that a fault that began before a change does not cause the change to be rolled back.
 */
public final class Baseline {
    /**
     * Length of the baseline, in milliseconds. It is long enough to contain several oscillations of
     * a typical fault.
     */
    private static final double LENGTH_MS = 120_000;

    /**
     * Length of the intervals that are searched for the worst service level, in milliseconds. In
     * shorter intervals random variation dominates the level.
     */
    private static final double INTERVAL_MS = 10_000;

    /** Intervals with fewer queries are ignored in the search for the worst service level. */
    private static final long MIN_INTERVAL_QUERIES = 20;

    /** Shortest time over which the rate of queries is computed, in milliseconds. */
    private static final double MIN_SPAN_MS = 1000;

    private static final double MS_PER_SECOND = 1000;

    private final ArrayDeque<TimeWindow> windows = new ArrayDeque<>();

    /**
     * Statistics of one segment over the baseline.
     *
     * @param meanLevel service level over the whole baseline, from 0 to 1
     * @param worstLevel service level in the worst interval, from 0 to 1
     * @param queriesPerSecond rate of queries
     * @param queries number of queries
     */
    record Statistics(double meanLevel, double worstLevel, double queriesPerSecond, long queries) {}

    /** Appends the next time window and drops windows older than the baseline. */
    public void add(TimeWindow window) {
        // Ages can't be computed across a clock that was set back, so the baseline starts anew.
        if (!windows.isEmpty() && window.endsMs() < windows.peekLast().endsMs()) {
            windows.clear();
        }
        windows.add(window);
        while (windows.peek().endsMs() < window.endsMs() - LENGTH_MS) {
            windows.poll();
        }
    }

    /** Returns the statistics of each segment; empty if no window was added. */
    Map<Segment, Statistics> statistics() {
        if (windows.isEmpty()) {
            return Map.of();
        }
        double endMs = windows.peekLast().endsMs();
        double spanMs = Math.max(MIN_SPAN_MS, endMs - windows.peek().endsMs());
        Map<Segment, ServiceLevel> totals = new HashMap<>();
        Map<Segment, Map<Long, ServiceLevel>> intervals = new HashMap<>();
        for (TimeWindow window : windows) {
            // Intervals are counted back from the end, so that the latest interval has full length.
            long interval = (long) ((endMs - window.endsMs()) / INTERVAL_MS);
            window.levels()
                    .forEach(
                            (segment, level) -> {
                                totals.merge(segment, level, ServiceLevel::plus);
                                intervals
                                        .computeIfAbsent(segment, key -> new HashMap<>())
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
