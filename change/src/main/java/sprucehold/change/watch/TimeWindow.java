package sprucehold.change.watch;

import java.util.HashMap;
import java.util.Map;

/**
 * Service in a short stretch of time, by segment. A query counts in the window in which it ended;
 * one that was not answered in time counts when its time was over.
 *
 * @param endsMs when the window ended, in milliseconds
 * @param levels the service level of each segment that had a query
 */
public record TimeWindow(double endsMs, Map<Segment, ServiceLevel> levels) {
    /**
     * A part of all queries that is watched by itself.
     *
     * @param kind what the queries have in common
     * @param name of the query class or tenant; empty for all
     */
    public record Segment(Kind kind, String name) {
        /** All queries. */
        public static final Segment ALL = new Segment(Kind.ALL, "");

        /** What the queries of a segment have in common. */
        public enum Kind {
            /** Nothing: all queries. */
            ALL,
            /** The query class. */
            QUERY_CLASS,
            /** The tenant. */
            TENANT
        }

        /** In the terms of the journal and of operators' answers, where it is part of reasons. */
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
     * The priority weight of a segment's queries, and the part of it that was earned.
     *
     * @param queries number of queries
     * @param offeredWeight the sum of the weights of all queries
     * @param earnedWeight the sum of the weights of those completed within the latency objective
     */
    public record ServiceLevel(long queries, double offeredWeight, double earnedWeight) {
        /** Service of two windows together. */
        ServiceLevel plus(ServiceLevel other) {
            return new ServiceLevel(
                    queries + other.queries,
                    offeredWeight + other.offeredWeight,
                    earnedWeight + other.earnedWeight);
        }

        /** The earned part of the offered weight, from 0 to 1; 1 if nothing was offered. */
        double fraction() {
            return offeredWeight <= 0 ? 1 : Math.max(0, Math.min(1, earnedWeight / offeredWeight));
        }
    }

    /** Copies its map. */
    public TimeWindow {
        levels = Map.copyOf(levels);
    }

    /** Collects the queries of one window after the other. */
    public static final class Builder {
        private final Map<Segment, ServiceLevel> levels = new HashMap<>();

        /**
         * Counts one query.
         *
         * @param queryClass its query class
         * @param tenant its tenant, or null if it has none
         * @param weight its priority weight
         * @param withinObjective whether it was completed within the latency objective
         */
        public Builder add(
                String queryClass, String tenant, double weight, boolean withinObjective) {
            var one = new ServiceLevel(1, weight, withinObjective ? weight : 0);
            levels.merge(Segment.ALL, one, ServiceLevel::plus);
            levels.merge(
                    new Segment(Segment.Kind.QUERY_CLASS, queryClass), one, ServiceLevel::plus);
            if (tenant != null) {
                levels.merge(new Segment(Segment.Kind.TENANT, tenant), one, ServiceLevel::plus);
            }
            return this;
        }

        /** Ends the window and begins the next. */
        public TimeWindow take(double endsMs) {
            var window = new TimeWindow(endsMs, levels);
            levels.clear();
            return window;
        }
    }
}
