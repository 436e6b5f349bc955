package sprucehold.decision;

import java.util.List;

/**
 * Properties of a deployment that affect decisions.
 *
 * @param gatherers number of gatherers
 * @param zone zone of this gatherer
 * @param tickMs minimum time between two calls of the policy, in milliseconds
 * @param overQuotaPriority priority weight of a query beyond its tenant's quota, as a fraction of
 *     the priority weight of its class
 * @param queryClasses query classes that are served
 * @param tenants tenants with a quota; empty if the deployment has none
 * @param layout assignment of shards to replica groups
 * @param limits limits of a gatherer
 * @param slowStart capacity of a shard server that is warming up
 * @param retryBudget limit of retries and hedged requests
 * @param endpointSubscription rules for keeping the endpoint list up to date
 */
public record Deployment(
        int gatherers,
        String zone,
        double tickMs,
        double overQuotaPriority,
        List<QueryClass> queryClasses,
        List<Tenant> tenants,
        ShardLayout layout,
        Limits limits,
        SlowStartRule slowStart,
        RetryBudget retryBudget,
        EndpointSubscription endpointSubscription) {

    /**
     * Assignment of shards to replica groups. A shard is stored in {@code groupsPerShard}
     * consecutive groups. The number of the first group is the shard number modulo {@code
     * replicaGroups}.
     *
     * @param replicaGroups number of replica groups; all servers of a group store the same shards
     * @param groupsPerShard number of consecutive groups that store a shard
     * @param partsPerCall maximum number of parts of one query in a single call to a server
     */
    public record ShardLayout(int replicaGroups, int groupsPerShard, int partsPerCall) {}

    /**
     * Limits of a gatherer.
     *
     * @param attemptsPerPart maximum number of attempts of one part, including the first
     * @param maxOpen maximum number of queries and parts open at the same time
     * @param hedging whether a second attempt may be sent while one is pending
     * @param cancellation whether pending attempts may be cancelled
     * @param maxRetryAfterMs maximum retry after that is returned with a rejection, in
     *     milliseconds; 0 if no retry after is returned
     */
    public record Limits(
            int attemptsPerPart,
            int maxOpen,
            boolean hedging,
            boolean cancellation,
            double maxRetryAfterMs) {}

    /**
     * Capacity of a shard server that is warming up. The server fails if the work sent to it within
     * {@code windowMs} exceeds {@code overloadFactor} times the work that it can do in that time at
     * the speed it has reached.
     *
     * @param startShare fraction of the full speed at which the server starts, 0 to 1
     * @param warmAfterMs time from the start of the server until full speed, in milliseconds
     * @param overloadFactor multiple of the capacity in a window above which the server fails
     * @param windowMs length of the window, in milliseconds
     */
    public record SlowStartRule(
            double startShare, double warmAfterMs, double overloadFactor, double windowMs) {}

    /**
     * Limit on retries and hedged requests: the maximum number of attempts beyond the first of each
     * part within any window.
     *
     * @param fixed number of attempts that are always allowed
     * @param perRequest additional attempts for each query and each part received in the window
     * @param windowMs length of the window, in milliseconds
     */
    public record RetryBudget(double fixed, double perRequest, double windowMs) {
        /** Unlimited budget, for deployments without a retry budget. */
        public static final RetryBudget NONE = new RetryBudget(Double.POSITIVE_INFINITY, 0, 0);
    }

    /**
     * Rules for keeping the endpoint list up to date.
     *
     * @param mustSubscribe whether discovery sends updates only to gatherers that subscribe
     * @param maxPollIntervalMs maximum time between two requests for the endpoint list while there
     *     is no subscription, in milliseconds
     */
    public record EndpointSubscription(boolean mustSubscribe, double maxPollIntervalMs) {}
}
