package sprucehold.clients;

import sprucehold.coordinator.Query;

/** Takes the queries that clients ask. */
public interface QueryHandler {
    /** Whether queries can be served: an endpoint list is held, and the gatherer isn't draining. */
    boolean ready();

    /** Whether a query class of this name is served. */
    boolean isQueryClass(String name);

    /** Whether a query of this id is open. */
    boolean isOpen(Query query);

    /**
     * Since when what is read on a connection in a pass over the sockets that begins now may have
     * lain unread: a time at or before {@code nowMs}. It is earlier where the event loop comes
     * straight from other work, in which it did not look at its sockets, and where the connection
     * waited to be accepted and is read for the first time.
     */
    double unreadSince(double nowMs, ConnectionArrival arrival);

    /**
     * Takes a query; its answer comes through {@link ClientServer#answer}, perhaps before this
     * returns.
     */
    void receive(Query query);

    /** The client of a query has disconnected before it had its answer. */
    void disconnected(Query query);
}
