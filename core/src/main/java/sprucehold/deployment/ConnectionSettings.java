package sprucehold.deployment;

/**
 * Settings of connections to shard servers.
 *
 * @param connectTimeoutMs timeout for establishing a connection, in milliseconds
 * @param idleTimeoutMs time after which a shard server closes an idle connection, in milliseconds
 * @param maxPartsInFlight maximum number of parts pending on one connection, at least 1
 */
public record ConnectionSettings(
        double connectTimeoutMs, double idleTimeoutMs, int maxPartsInFlight) {}
