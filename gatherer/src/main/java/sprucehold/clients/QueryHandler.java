package sprucehold.clients;

import sprucehold.coordinator.Query;

/** Processes clients' queries. */
public interface QueryHandler {
    /**
     * Returns whether queries can be served: an endpoint list has been received, and the gatherer
     * isn't draining.
     */
    boolean isReady();

    /** Returns whether a query class of this name is configured. */
    boolean isQueryClass(String name);

    /** Returns whether a query with the same id is open. */
    boolean isOpen(Query query);

    /**
     * Returns whether a query with the same id was received before, and has run or may have run, so
     * that this one would repeat its effect.
     */
    boolean isSpent(Query query);

    /**
     * Returns the earliest time at which bytes read in the event loop pass that began at {@code
     * nowMs} can have arrived on the connection, in milliseconds. The result is earlier than {@code
     * nowMs} in two cases: the event loop was busy with other work just before and did not read its
     * sockets, or the connection waited to be accepted and is read for the first time.
     */
    double earliestArrivalMs(double nowMs, ConnectionArrival arrival);

    /**
     * Processes a query. Its answer is sent by {@link ClientServer#answer}, possibly before this
     * method returns.
     */
    void receive(Query query);

    /** Reports that the client of a query has disconnected before it received its answer. */
    void disconnected(Query query);
}
