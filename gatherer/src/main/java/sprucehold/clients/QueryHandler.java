package sprucehold.clients;

import sprucehold.coordinator.Query;

/** Where scans are taken. */
public interface QueryHandler {
    /** Whether scans can be taken: a list is held, and the gatherer isn't ending. */
    boolean ready();

    boolean isTableType(String name);

    /** Whether a scan of this id is open. */
    boolean isOpen(Query query);

    /**
     * Since when what is read on a connection in a pass over the sockets that begins now may have
     * lain unread: a time at or before {@code nowMs}. It is earlier where the event loop comes
     * straight from other work, in which it did not look at its sockets, and where the connection
     * waited to be accepted and is read for the first time.
     */
    double unreadSince(double nowMs, ConnectionArrival arrival);

    /**
     * Takes a scan; its answer comes through {@link ClientServer#answer}, perhaps before this
     * returns.
     */
    void take(Query query);

    /** The client of a scan has gone. */
    void left(Query query);
}
