package sprucehold.coordinator;

import java.util.List;

/** Something that went well or badly outside. */
public sealed interface Observation {
    /** Each dispatch ends exactly once. */
    record AttemptEnded(Attempt attempt, AttemptResult result) implements Observation {}

    /** The client has closed its connection before it had the answer. */
    record ClientDisconnected(Query query) implements Observation {}

    /**
     * News of shard servers. A complete list names all there are; otherwise only changes are named.
     */
    record EndpointsUpdated(boolean complete, List<EndpointUpdate> updates)
            implements Observation {}

    /** A call for the list failed or told nothing that can be used. */
    record EndpointsUnavailable() implements Observation {}

    /** The end of a probe; {@code result} is never {@link AttemptResult.Cancelled}. */
    record HealthCheckEnded(ShardServer server, AttemptResult result, double durationMs)
            implements Observation {}
}
