package sprucehold.coordinator;

import java.util.List;

/** Event observed by the network code. */
public sealed interface Observation {
    /**
     * An attempt ended. Each attempt ends exactly once.
     *
     * @param attempt the attempt
     * @param result result of the attempt
     */
    record AttemptEnded(Attempt attempt, AttemptResult result) implements Observation {}

    /**
     * The value of an attempt that ended with {@link AttemptResult.Completed} turned out to be
     * wrong.
     *
     * @param attempt the attempt
     */
    record AnswerDisproved(Attempt attempt) implements Observation {}

    /**
     * A client closed its connection before it received its answer.
     *
     * @param query the query of the client
     */
    record ClientDisconnected(Query query) implements Observation {}

    /**
     * Discovery reported the state of shard servers.
     *
     * @param complete true if {@code updates} contains all shard servers, false if it contains only
     *     those that changed
     * @param updates state of each reported shard server
     */
    record EndpointsUpdated(boolean complete, List<EndpointUpdate> updates)
            implements Observation {}

    /** A call to discovery failed or returned an unusable response. */
    record EndpointsUnavailable() implements Observation {}

    /**
     * A health check ended.
     *
     * @param server the shard server that was checked
     * @param result result of the check; never {@link AttemptResult.Cancelled}
     * @param durationMs duration of the check, in milliseconds
     */
    record HealthCheckEnded(ShardServer server, AttemptResult result, double durationMs)
            implements Observation {}
}
