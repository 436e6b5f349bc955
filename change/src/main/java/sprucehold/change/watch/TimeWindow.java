package sprucehold.change.watch;

import java.util.HashMap;
import java.util.Map;

/**
 * Service level of each segment in a short time window. A query is counted in the window in which
 * it ended. A query that was not answered before its deadline is counted in the window in which the
 * deadline passed.
 *
 * @param endsMs end of the window, in milliseconds
 * @param levels service level of each segment with at least one query in the window
 */
public record TimeWindow(double endsMs, Map<Segment, ServiceLevel> levels) {
    /**
     * A subset of all queries that is tested on its own.
     *
     * @param kind the property that the queries have in common
     * @param name name of the query class or tenant; empty for {@link Kind#ALL}
     */
    public record Segment(Kind kind, String name) {
        /** All queries. */
        public static final Segment ALL = new Segment(Kind.ALL, "");

        /** The property that the queries of a segment have in common. */
        public enum Kind {
            /** No common property: the segment contains all queries. */
            ALL,
            /** All queries of the segment have the same query class. */
            QUERY_CLASS,
            /** All queries of the segment have the same tenant. */
            TENANT
        }

        /**
         * Returns the segment in the terms of the journal and of answers to operators, where it is
         * part of reasons.
         */
        @Override
        public String toString() {
            return switch (kind) {
                case ALL -> "all scans";
                case QUERY_CLASS -> "table type '" + name + "'";
                case TENANT -> "customer '" + name + "'";
            };
        }
    }

    /**
     * Total priority weight of a segment's queries, and the part of it that was earned by
     * completing queries within the latency objective.
     *
     * @param queries number of queries
     * @param offeredWeight sum of the weights of all queries
     * @param earnedWeight sum of the weights of the queries completed within the latency objective
     */
    public record ServiceLevel(long queries, double offeredWeight, double earnedWeight) {
        /** Returns the sum of two service levels. */
        ServiceLevel plus(ServiceLevel other) {
            return new ServiceLevel(
                    queries + other.queries,
                    offeredWeight + other.offeredWeight,
                    earnedWeight + other.earnedWeight);
        }

        /**
         * Returns the earned fraction of the offered weight, from 0 to 1; 1 if no weight was
         * offered.
         */
        double fraction() {
            return offeredWeight <= 0 ? 1 : Math.max(0, Math.min(1, earnedWeight / offeredWeight));
        }
    }

    /** Copies the map of service levels. */
    public TimeWindow {
        levels = Map.copyOf(levels);
    }

    /** Collects the queries of the current window; reusable for the next window. */
    public static final class Builder {
        private final Map<Segment, ServiceLevel> levels = new HashMap<>();

        /**
         * Counts one query.
         *
         * @param queryClass name of its query class
         * @param tenant name of its tenant, or null if it has none
         * @param weight its priority weight
         * @param withinObjective whether it was completed within the latency objective
         */
        public Builder add(
                String queryClass, String tenant, double weight, boolean withinObjective) {
            var level = new ServiceLevel(1, weight, withinObjective ? weight : 0);
            levels.merge(Segment.ALL, level, ServiceLevel::plus);
            levels.merge(
                    new Segment(Segment.Kind.QUERY_CLASS, queryClass), level, ServiceLevel::plus);
            if (tenant != null) {
                levels.merge(new Segment(Segment.Kind.TENANT, tenant), level, ServiceLevel::plus);
            }
            return this;
        }

        /**
         * Ends the current window, returns it and begins the next.
         *
         * @param endsMs end of the window, in milliseconds
         */
        public TimeWindow endWindow(double endsMs) {
            var window = new TimeWindow(endsMs, levels);
            levels.clear();
            return window;
        }
    }
}
