package sprucehold.change.watch;

import java.util.HashMap;
import java.util.Map;

/**
 * What was asked and earned in a short stretch of time, by stratum: all, a table type, a customer.
 * A scan counts in the stretch in which it ended, and one that didn't end in time when its time was
 * over.
 *
 * @param endsMs when the stretch ended
 */
public record TimeWindow(double endsMs, Map<Segment, Service> service) {
    /** Whose service it is. */
    public record Segment(Kind kind, String name) {
        public static final Segment ALL = new Segment(Kind.ALL, "");

        /** What scans are told apart by. */
        public enum Kind {
            ALL,
            TABLE_TYPE,
            CUSTOMER
        }

        @Override
        public String toString() {
            return switch (kind) {
                case ALL -> "all scans";
                case TABLE_TYPE -> "table type '" + name + "'";
                case CUSTOMER -> "customer '" + name + "'";
            };
        }
    }

    /**
     * Benefit asked for, and earned by answers in target time.
     *
     * @param scans how many
     */
    public record Service(long scans, double asked, double earned) {
        Service plus(Service other) {
            return new Service(scans + other.scans, asked + other.asked, earned + other.earned);
        }

        double share() {
            return asked <= 0 ? 1 : Math.max(0, Math.min(1, earned / asked));
        }
    }

    public TimeWindow {
        service = Map.copyOf(service);
    }

    /** Puts scans together into a slot. */
    public static final class Builder {
        private final Map<Segment, Service> service = new HashMap<>();

        /**
         * Counts one scan.
         *
         * @param customer null where there is none
         * @param benefit what it would have earned in time
         * @param inTargetTime whether it was answered so
         */
        public Builder add(String type, String customer, double benefit, boolean inTargetTime) {
            var one = new Service(1, benefit, inTargetTime ? benefit : 0);
            service.merge(Segment.ALL, one, Service::plus);
            service.merge(new Segment(Segment.Kind.TABLE_TYPE, type), one, Service::plus);
            if (customer != null) {
                service.merge(new Segment(Segment.Kind.CUSTOMER, customer), one, Service::plus);
            }
            return this;
        }

        /** The slot so far; the next one begins. */
        public TimeWindow take(double endsMs) {
            var slot = new TimeWindow(endsMs, service);
            service.clear();
            return slot;
        }
    }
}
