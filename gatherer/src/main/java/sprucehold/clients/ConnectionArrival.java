package sprucehold.clients;

/**
 * When a client's connection came, in milliseconds of the gatherer's clock.
 *
 * @param connectedSinceMs the earliest moment at which it can have come up: it may have waited in
 *     the backlog of the system, and what its client sent meanwhile with it
 * @param openedAtMs when it was accepted and the event loop began to read it
 */
public record ConnectionArrival(double connectedSinceMs, double openedAtMs) {}
