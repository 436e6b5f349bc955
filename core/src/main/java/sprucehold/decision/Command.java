package sprucehold.decision;

import java.util.List;

/** Command of the policy with its reason. Times are in milliseconds. */
public sealed interface Command {
    /** Returns the reason for the command. */
    Reason reason();

    /**
     * Sends a part to a shard server. The attempts of a part are numbered from 0 in the order of
     * these commands.
     *
     * @param partId id of the part
     * @param server name of the shard server
     * @param timeoutMs timeout of the attempt
     * @param reason reason for the attempt
     * @param position position of the query, from 0: the index of the preferred replica in the list
     *     of replicas of each shard, modulo the length of the list
     * @param skipped replicas that were preferred but skipped, with the cause
     */
    record SendAttempt(
            String partId,
            String server,
            double timeoutMs,
            Reason reason,
            int position,
            List<SkippedReplica> skipped)
            implements Command {
        /** Creates an attempt without a stated reason. */
        public SendAttempt(String partId, String server, double timeoutMs) {
            this(partId, server, timeoutMs, Reason.UNSTATED, 0, List.of());
        }
    }

    /** Cancels a pending attempt. */
    record CancelAttempt(String partId, int attemptNumber, Reason reason) implements Command {
        /** Creates a cancellation without a stated reason. */
        public CancelAttempt(String partId, int attemptNumber) {
            this(partId, attemptNumber, Reason.UNSTATED);
        }
    }

    /**
     * Answers a query with the values of the parts completed so far. If the query class has a
     * second step, the answer of the first step starts the second step and does not end the query.
     *
     * @param queryId id of the query
     * @param complete whether the answer is complete
     * @param reason reason for answering the query now
     */
    record AnswerQuery(String queryId, boolean complete, Reason reason) implements Command {
        /** Creates an answer without a stated reason. */
        public AnswerQuery(String queryId, boolean complete) {
            this(queryId, complete, Reason.UNSTATED);
        }
    }

    /**
     * Rejects a query. The client can safely send it again, because none of its parts can have run
     * or its query class allows parts to run again.
     *
     * @param queryId id of the query
     * @param retryAfterMs delay after which the client should send the query again; 0 for no advice
     * @param reason reason for the rejection
     */
    record RejectQuery(String queryId, double retryAfterMs, Reason reason) implements Command {
        /** Creates a rejection without a stated reason. */
        public RejectQuery(String queryId, double retryAfterMs) {
            this(queryId, retryAfterMs, Reason.UNSTATED);
        }
    }

    /** Fails a query. The query may or may not have had an effect. */
    record FailQuery(String queryId, Reason reason) implements Command {
        /** Creates a failure without a stated reason. */
        public FailQuery(String queryId) {
            this(queryId, Reason.UNSTATED);
        }
    }

    /**
     * Consumes units of an allowance of the {@link ClusterView}, either for the next attempt or for
     * the query just received. The attempt must not be made unless the allowance still contains the
     * units.
     */
    record ConsumeAllowance(SharedLimit limit, int units) implements Command {
        @Override
        public Reason reason() {
            return Reason.UNSTATED;
        }
    }

    /** Requests an {@link Event.WakeUp} after a delay. */
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

    /** Subscribes to endpoint updates, including the updates missed so far. */
    record SubscribeToEndpoints(Reason reason) implements Command {
        /** Creates a subscription without a stated reason. */
        public SubscribeToEndpoints() {
            this(Reason.UNSTATED);
        }
    }

    /** Writes a message to the log. */
    record LogMessage(String text) implements Command {
        @Override
        public Reason reason() {
            return Reason.UNSTATED;
        }
    }
}
