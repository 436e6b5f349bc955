package sprucehold.deployment;

/**
 * What the deployment says of connections to shard servers.
 *
 * @param connectTimeoutMs how long a connection may take to come up, in milliseconds
 * @param idleTimeoutMs how long a shard server keeps an idle connection open, in milliseconds
 * @param maxPartsInFlight the most parts that may be pending on one connection, at least 1
 */
public record ConnectionSettings(
        double connectTimeoutMs, double idleTimeoutMs, int maxPartsInFlight) {}
