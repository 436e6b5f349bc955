package sprucehold.facts;

/**
 * What the deployment says of connections to shard servers.
 *
 * @param dialTimeoutMs a connection that isn't up by then won't come up
 * @param idleCloseMs when a shard server closes one that stands idle, at the latest
 * @param parts the most parts out on one connection
 */
public record Connections(double dialTimeoutMs, double idleCloseMs, int parts) {}
