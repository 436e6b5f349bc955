package sprucehold.clients;

/**
 * Times at which a client's connection was established and accepted, in milliseconds of the
 * gatherer's clock.
 *
 * @param earliestConnectedAtMs earliest time at which the connection can have been established; it
 *     may have waited in the listen backlog, and so may bytes that its client sent in the meantime
 * @param acceptedAtMs time at which the connection was accepted and the event loop began to read it
 */
public record ConnectionArrival(double earliestConnectedAtMs, double acceptedAtMs) {}
