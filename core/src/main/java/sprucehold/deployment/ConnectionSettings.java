package sprucehold.deployment;

/**
 * What the deployment says of connections to shard servers.
 *
 * @param connectTimeoutMs a connection that isn't up by then won't come up
 * @param idleTimeoutMs when a shard server closes one that stands idle, at the latest
 * @param maxPartsInFlight the most parts out on one connection
 */
public record ConnectionSettings(
        double connectTimeoutMs, double idleTimeoutMs, int maxPartsInFlight) {}
