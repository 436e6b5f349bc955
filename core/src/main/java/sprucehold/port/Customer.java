package sprucehold.port;

/**
 * A customer of the service and the scans per second, over all gatherers, that lie within its
 * share.
 */
public record Customer(String name, double scansPerSecond) {}
