package sprucehold.port;

import java.util.List;

/** Something a gatherer wants done, and why. */
public sealed interface Action {
    /** Why it is wanted. */
    Reason reason();

    /**
     * Sends a part to a shard server; the dispatches of a part are numbered from 0 in this order.
     *
     * @param timeoutMs how long its answer is waited for, in milliseconds
     * @param position the position that its scan took among each segment's holders, from 0
     * @param passedOver holders that would have come first, and what spoke against each
     */
    record Dispatch(
            String partId,
            String server,
            double timeoutMs,
            Reason reason,
            int position,
            List<PassedOver> passedOver)
            implements Action {
        public Dispatch(String partId, String server, double timeoutMs) {
            this(partId, server, timeoutMs, Reason.UNSTATED, 0, List.of());
        }
    }

    /** Stops waiting for a dispatch. */
    record Cancel(String partId, int number, Reason reason) implements Action {
        public Cancel(String partId, int number) {
            this(partId, number, Reason.UNSTATED);
        }
    }

    /** Answers a scan from the parts completed so far. */
    record Answer(String scanId, boolean whole, Reason reason) implements Action {
        public Answer(String scanId, boolean whole) {
            this(scanId, whole, Reason.UNSTATED);
        }
    }

    /**
     * Turns a scan away; asking again is harmless, best after {@code comeBackMs} (0: no advice).
     */
    record Throttle(String scanId, double comeBackMs, Reason reason) implements Action {
        public Throttle(String scanId, double comeBackMs) {
            this(scanId, comeBackMs, Reason.UNSTATED);
        }
    }

    /** Ends a scan with no promise about its effect. */
    record Abandon(String scanId, Reason reason) implements Action {
        public Abandon(String scanId) {
            this(scanId, Reason.UNSTATED);
        }
    }

    /**
     * Takes units of a bound that gatherers share, out of the room that {@link Others} named: for
     * the dispatch that follows it, which is not to be made unless the bound still has them, or for
     * the scan just taken.
     */
    record Use(Bound bound, int units) implements Action {
        @Override
        public Reason reason() {
            return Reason.UNSTATED;
        }
    }

    /** Asks for an {@link Event.Woken} after this time, in milliseconds. */
    record Wake(double delayMs) implements Action {
        @Override
        public Reason reason() {
            return Reason.ALARM;
        }
    }

    /** Probes a shard server. */
    record Probe(String server) implements Action {
        @Override
        public Reason reason() {
            return Reason.UNSTATED;
        }
    }

    /** Asks to be told of changes to the list from now on, and of what was missed. */
    record FollowList(Reason reason) implements Action {
        public FollowList() {
            this(Reason.UNSTATED);
        }
    }

    /** A line for the operators' log. */
    record Note(String line) implements Action {
        @Override
        public Reason reason() {
            return Reason.UNSTATED;
        }
    }
}
