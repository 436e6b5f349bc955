package sprucehold.coordinator;

import java.util.List;

/** Something that the network code saw. */
public sealed interface Observation {
    /**
     * An attempt ended; each attempt ends exactly once.
     *
     * @param attempt the attempt
     * @param result how it ended
     */
    record AttemptEnded(Attempt attempt, AttemptResult result) implements Observation {}

    /**
     * A client closed its connection before it had its answer.
     *
     * @param query what it had asked
     */
    record ClientDisconnected(Query query) implements Observation {}

    /**
     * Discovery told of shard servers.
     *
     * @param complete whether all shard servers are named, or only those that changed
     * @param updates the shard servers named
     */
    record EndpointsUpdated(boolean complete, List<EndpointUpdate> updates)
            implements Observation {}

    /** A call to discovery failed, or told nothing that can be used. */
    record EndpointsUnavailable() implements Observation {}

    /**
     * A health check ended.
     *
     * @param server the shard server that was checked
     * @param result how the check ended; never {@link AttemptResult.Cancelled}
     * @param durationMs how long it took, in milliseconds
     */
    record HealthCheckEnded(ShardServer server, AttemptResult result, double durationMs)
            implements Observation {}
}
