package sprucehold.decision;

/**
 * A tenant of the service.
 *
 * @param name its name, unique in a deployment
 * @param queriesPerSecond its quota: queries per second, over all gatherers
 */
public record Tenant(String name, double queriesPerSecond) {}
