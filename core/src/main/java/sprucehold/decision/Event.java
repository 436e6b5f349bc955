package sprucehold.decision;

import java.util.List;

/** Something that happened at one gatherer. Times are in milliseconds. */
public sealed interface Event {
    /**
     * A client's query was received; its parts follow in the same call.
     *
     * @param id its name, unique among open queries
     * @param number counts up from 1; parts name their query by it
     * @param queryClass its class as it was when the query was received
     * @param tenant whose query it is, or null where the deployment has no tenants
     * @param timeLeftMs how long the client still waits
     */
    record QueryReceived(
            String id, long number, QueryClass queryClass, Tenant tenant, double timeLeftMs)
            implements Event {}

    /**
     * A part of a query was received.
     *
     * @param id its name, unique among open parts
     * @param queryNumber the number of its query
     * @param shard the shard that it asks
     * @param weight its share of the whole answer; the weights of one step sum to about 1
     */
    record PartReceived(String id, long queryNumber, int shard, double weight) implements Event {}

    /**
     * An attempt ended; each attempt ends exactly once.
     *
     * @param partId its part
     * @param attemptNumber counts the attempts of a part from 0
     * @param outcome how it ended
     * @param durationMs how long it was pending
     * @param load what the shard server told of its load, or null
     */
    record AttemptEnded(
            String partId,
            int attemptNumber,
            AttemptOutcome outcome,
            double durationMs,
            LoadReport load)
            implements Event {}

    /** The client has disconnected, so its query is over. */
    record ClientDisconnected(String queryId) implements Event {}

    /**
     * The endpoint list changed.
     *
     * @param complete whether all endpoints are named, or only those that changed
     * @param endpoints the endpoints named
     */
    record EndpointsUpdated(boolean complete, List<Endpoint> endpoints) implements Event {}

    /** A request for the endpoint list failed, or the subscription to it ended. */
    record EndpointsUnavailable() implements Event {}

    /**
     * A health check ended.
     *
     * @param server the shard server checked
     * @param outcome how the check ended
     * @param durationMs how long it took
     * @param load what the shard server told of its load, or null
     */
    record HealthCheckEnded(
            String server, AttemptOutcome outcome, double durationMs, LoadReport load)
            implements Event {}

    /**
     * Another deployment holds from this moment on, for what comes after it. Gatherers, zone,
     * layout and tick stay. Open queries end under the query class that they were received under,
     * as {@link QueryClass#restrictedBy} says.
     */
    record DeploymentChanged(Deployment deployment) implements Event {}

    /** The view of the cluster changed; it comes before whatever else happened in the same call. */
    record ClusterViewChanged(ClusterView view) implements Event {}

    /** The time asked for by a {@link Command.ScheduleWakeUp} has come. */
    record WakeUp() implements Event {}
}
