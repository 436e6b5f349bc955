package sprucehold.decision;

import java.util.List;

/**
 * What decisions have to know of a deployment.
 *
 * @param gatherers how many gatherers there are
 * @param zone the zone of this gatherer
 * @param tickMs the shortest time between two calls of the policy, in milliseconds
 * @param overQuotaPriority what a query beyond its tenant's quota is worth, as a portion of its
 *     class's weight
 * @param queryClasses the classes of queries that are served
 * @param tenants the tenants that have a quota; empty where there are none
 * @param layout which shard servers hold which shards
 * @param limits what a gatherer may do
 * @param slowStart what a shard server that is warming up can take
 * @param retryBudget how many retries and hedged requests are allowed
 * @param endpointSubscription how the endpoint list is kept up to date
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
     * Which replica groups hold a shard: {@code groupsPerShard} in a row, the first being the shard
     * modulo {@code replicaGroups}.
     *
     * @param replicaGroups how many groups there are; the servers of a group hold the same shards
     * @param groupsPerShard how many groups in a row hold a shard
     * @param partsPerCall the most parts of one query that share a call to a server
     */
    public record ShardLayout(int replicaGroups, int groupsPerShard, int partsPerCall) {}

    /**
     * What a gatherer may do.
     *
     * @param attemptsPerPart the most attempts of one part, the first included
     * @param maxOpen the most queries and parts that may be open at once
     * @param hedging whether a second attempt may go beside a pending one
     * @param cancellation whether pending attempts may be cancelled
     * @param maxRetryAfterMs the longest time after which a rejected client may be asked to come
     *     back, in milliseconds; 0 where clients aren't told
     */
    public record Limits(
            int attemptsPerPart,
            int maxOpen,
            boolean hedging,
            boolean cancellation,
            double maxRetryAfterMs) {}

    /**
     * What a shard server that is warming up can take. It falls over when it is sent {@code
     * overloadFactor} times what it can do within {@code windowMs}.
     *
     * @param startShare the share of its full speed at which it starts, 0 to 1
     * @param warmAfterMs how long after its start it reaches full speed, in milliseconds
     * @param overloadFactor the multiple of its work in a window from which it falls over
     * @param windowMs the length of the window, in milliseconds
     */
    public record SlowStartRule(
            double startShare, double warmAfterMs, double overloadFactor, double windowMs) {}

    /**
     * The most attempts beyond each part's first in any window.
     *
     * @param fixed how many are always allowed
     * @param perRequest how many more for each query and each part received in the window
     * @param windowMs the length of the window, in milliseconds
     */
    public record RetryBudget(double fixed, double perRequest, double windowMs) {
        /** Where no budget is stated. */
        public static final RetryBudget NONE = new RetryBudget(Double.POSITIVE_INFINITY, 0, 0);
    }

    /**
     * How the endpoint list is kept up to date.
     *
     * @param mustSubscribe whether updates come only to who asks for them
     * @param maxPollIntervalMs how often the list has to be asked for at least while there is no
     *     subscription, in milliseconds
     */
    public record EndpointSubscription(boolean mustSubscribe, double maxPollIntervalMs) {}
}
