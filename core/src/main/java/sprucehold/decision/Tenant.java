package sprucehold.decision;

/**
 * Tenant of the service.
 *
 * @param name name, unique in a deployment
 * @param queriesPerSecond quota in queries per second, over all gatherers
 */
public record Tenant(String name, double queriesPerSecond) {}
