package sprucehold.decision;

import java.util.List;

/** Event at one gatherer. Times are in milliseconds. */
public sealed interface Event {
    /**
     * A client's query was received. Its parts follow in the same call.
     *
     * @param id id of the query, unique among open queries
     * @param number consecutive number from 1, by which parts refer to their query
     * @param queryClass query class as of the receipt of the query
     * @param tenant tenant of the query, or null if the deployment lists no such tenant
     * @param timeLeftMs remaining time that the client waits for the answer
     */
    record QueryReceived(
            String id, long number, QueryClass queryClass, Tenant tenant, double timeLeftMs)
            implements Event {}

    /**
     * A part of a query was received.
     *
     * @param id id of the part, unique among open parts
     * @param queryNumber number of the query
     * @param shard shard that the part queries
     * @param weight share of the part in the whole answer; the weights of one step sum to about 1
     */
    record PartReceived(String id, long queryNumber, int shard, double weight) implements Event {}

    /**
     * An attempt ended. Each attempt ends exactly once.
     *
     * @param partId id of the part
     * @param attemptNumber number of the attempt among those of the part, from 0
     * @param outcome outcome of the attempt
     * @param durationMs time for which the attempt was pending
     * @param load load report of the shard server, or null
     */
    record AttemptEnded(
            String partId,
            int attemptNumber,
            AttemptOutcome outcome,
            double durationMs,
            LoadReport load)
            implements Event {}

    /**
     * The client has disconnected, so its query is closed. The coordinator also adds this event for
     * a query that it failed itself, so that the policy closes the query.
     */
    record ClientDisconnected(String queryId) implements Event {}

    /**
     * The endpoint list changed.
     *
     * @param complete true if {@code endpoints} contains all endpoints, false if it contains only
     *     those that changed
     * @param endpoints the endpoints
     */
    record EndpointsUpdated(boolean complete, List<Endpoint> endpoints) implements Event {}

    /** A request for the endpoint list failed, or the subscription to it ended. */
    record EndpointsUnavailable() implements Event {}

    /**
     * A health check ended.
     *
     * @param server name of the shard server that was checked
     * @param outcome outcome of the check
     * @param durationMs duration of the check
     * @param load load report of the shard server, or null
     */
    record HealthCheckEnded(
            String server, AttemptOutcome outcome, double durationMs, LoadReport load)
            implements Event {}

    /**
     * The deployment changed. The new one applies to all later events. The number of gatherers, the
     * zone, the shard layout and the tick keep their values. Open queries keep the query class
     * under which they were received, restricted as described in {@link QueryClass#restrictedBy}.
     */
    record DeploymentChanged(Deployment deployment) implements Event {}

    /** The cluster view changed. This event precedes all other events of the same call. */
    record ClusterViewChanged(ClusterView view) implements Event {}

    /**
     * The time requested by a {@link Command.ScheduleWakeUp} is reached, or the coordinator was
     * called because a timeout or a deadline expired.
     */
    record WakeUp() implements Event {}
}
