package sprucehold.decision;

import java.util.List;

/** Something that the policy wants done, and why. Times are in milliseconds. */
public sealed interface Command {
    /** Why it is wanted. */
    Reason reason();

    /**
     * Sends a part to a shard server; the attempts of a part are numbered from 0 in this order.
     *
     * @param partId the part
     * @param server the shard server
     * @param timeoutMs how long its answer is waited for
     * @param reason why it is sent
     * @param position the position that its query took among each shard's replicas, from 0
     * @param skipped replicas that would have come first, and why they were skipped
     */
    record SendAttempt(
            String partId,
            String server,
            double timeoutMs,
            Reason reason,
            int position,
            List<SkippedReplica> skipped)
            implements Command {
        /** An attempt without a reason. */
        public SendAttempt(String partId, String server, double timeoutMs) {
            this(partId, server, timeoutMs, Reason.UNSTATED, 0, List.of());
        }
    }

    /** Cancels a pending attempt. */
    record CancelAttempt(String partId, int attemptNumber, Reason reason) implements Command {
        /** A cancellation without a reason. */
        public CancelAttempt(String partId, int attemptNumber) {
            this(partId, attemptNumber, Reason.UNSTATED);
        }
    }

    /**
     * Answers a query from the parts completed so far.
     *
     * @param queryId the query
     * @param complete whether the answer is complete
     * @param reason why it is given now
     */
    record AnswerQuery(String queryId, boolean complete, Reason reason) implements Command {
        /** An answer without a reason. */
        public AnswerQuery(String queryId, boolean complete) {
            this(queryId, complete, Reason.UNSTATED);
        }
    }

    /**
     * Rejects a query: it has had no effect, and asking again is harmless.
     *
     * @param queryId the query
     * @param retryAfterMs when its client should ask again; 0 for no advice
     * @param reason why it is rejected
     */
    record RejectQuery(String queryId, double retryAfterMs, Reason reason) implements Command {
        /** A rejection without a reason. */
        public RejectQuery(String queryId, double retryAfterMs) {
            this(queryId, retryAfterMs, Reason.UNSTATED);
        }
    }

    /** Ends a query with no promise about its effect. */
    record FailQuery(String queryId, Reason reason) implements Command {
        /** A failure without a reason. */
        public FailQuery(String queryId) {
            this(queryId, Reason.UNSTATED);
        }
    }

    /**
     * Consumes units of the allowance that {@link ClusterView} told of: for the attempt that
     * follows, which must not be made unless the allowance still has them, or for the query just
     * received.
     */
    record ConsumeAllowance(SharedLimit limit, int units) implements Command {
        @Override
        public Reason reason() {
            return Reason.UNSTATED;
        }
    }

    /** Asks for an {@link Event.WakeUp} after a time. */
    record ScheduleWakeUp(double delayMs) implements Command {
        @Override
        public Reason reason() {
            return Reason.TIMER;
        }
    }

    /** Checks the health of a shard server. */
    record CheckHealth(String server) implements Command {
        @Override
        public Reason reason() {
            return Reason.UNSTATED;
        }
    }

    /** Asks for updates of the endpoint list from now on, and for what was missed. */
    record SubscribeToEndpoints(Reason reason) implements Command {
        /** A subscription without a reason. */
        public SubscribeToEndpoints() {
            this(Reason.UNSTATED);
        }
    }

    /** A line for the log. */
    record LogMessage(String text) implements Command {
        @Override
        public Reason reason() {
            return Reason.UNSTATED;
        }
    }
}
