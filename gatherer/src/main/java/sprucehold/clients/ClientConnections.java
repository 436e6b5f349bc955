package sprucehold.clients;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.DoubleSupplier;

/**
 * The one owner of when a client's connection ends: how many there may be, and which are closed for
 * holding a place without need. Whoever else wants one closed asks here; <em>how</em> it is closed
 * is {@link LingeringClose}'s.
 *
 * <pre>
 *              head of a request          whole request         answer written
 *   AWAITING ---------------------&gt; AWAITING ---------&gt; BUSY ----------------&gt; IDLE --head--&gt; AWAITING
 *      |  too old, or too many of them                    |  last answer           |  too old, crowded, or draining
 *      v                                                  v                        v
 *   CLOSING &lt;------------- written, or too old ----- LAST ANSWER               CLOSING --closed--&gt; forgotten
 * </pre>
 *
 * Nothing is closed by its age before the sockets were read once more ({@link #markOverdue}, then
 * {@link #closeMarked}): a request that lies whole in the system's buffer has been received, and
 * its connection isn't idle. Pure: no sockets, no threads. Times are in milliseconds.
 *
 * @param <C> stands for a connection
 */
final class ClientConnections<C> {
    /**
     * Who hasn't sent a whole request after this time is closed, with time to spare to the 3 s of
     * the protocol.
     */
    static final double REQUEST_TIMEOUT_MS = 2500;

    /**
     * How long an idle connection is kept. The protocol allows a close after 2 s; with room to
     * spare there is no hurry.
     */
    static final double KEEP_ALIVE_MS = 20_000;

    /** How long an idle connection is kept where there is little room. */
    static final double KEEP_ALIVE_CROWDED_MS = 2000;

    /** Who opens a connection to ask does so at once: some passes over the sockets, and the way. */
    private static final double ARRIVING_AFTER_ACCEPT_MS = 20;

    /** What is done to a connection. */
    interface Closer<C> {
        /** Reads what lies unread on it, so that what its client sent before now is told of. */
        void readUnread(C connection);

        /**
         * Ends it so that what was written still arrives; {@link ClientConnections#closed} follows.
         */
        void close(C connection);

        /** Ends it at once, whatever becomes of what was written. */
        void closeNow(C connection);
    }

    /** What is known of an open connection. */
    private static final class State {
        /** Since when it awaits a request or is idle. */
        double sinceMs;

        /** What else it sends is not heard: its next answer is its last. */
        boolean unheard;

        /** That answer is on the way. */
        boolean lastAnswer;

        /** To be closed unless the next pass over the sockets brings something of it. */
        boolean marked;

        final ConnectionArrival arrival;

        State(ConnectionArrival arrival) {
            this.arrival = arrival;
            this.sinceMs = arrival.openedAtMs();
        }
    }

    private final int maxConnections;
    private final DoubleSupplier clock;
    private final Closer<C> closer;
    private final Map<C, State> open = new HashMap<>();

    /** No whole request has come, or the last answer is on the way; the longest-standing first. */
    private final Set<C> awaiting = new LinkedHashSet<>();

    /** Answered and kept open for a next request, the longest-standing first. */
    private final Set<C> idle = new LinkedHashSet<>();

    /**
     * Being closed, which takes the other side's close or a bounded time; the longest-standing
     * first.
     */
    private final Set<C> closing = new LinkedHashSet<>();

    /** Those on which a request has begun to come in and isn't whole. */
    private final Set<C> receiving = new LinkedHashSet<>();

    ClientConnections(int maxConnections, DoubleSupplier clock, Closer<C> closer) {
        this.maxConnections = maxConnections;
        this.clock = clock;
        this.closer = closer;
    }

    /**
     * Takes a connection in; true if there are too many now and {@link #closeSurplus} is due once
     * they have been read.
     *
     * @param connectedSinceMs since when it may have been connected: before it was accepted it
     *     waited in the backlog
     */
    boolean opened(C connection, double connectedSinceMs) {
        open.put(
                connection,
                new State(new ConnectionArrival(connectedSinceMs, clock.getAsDouble())));
        awaiting.add(connection);
        return heldConnections() > maxConnections;
    }

    private int heldConnections() {
        return open.size() + closing.size();
    }

    /**
     * Closes what is beyond the most: those being closed already, whose other side had its time;
     * then those that await a request the longest, since who means to ask does so at once; then
     * idle ones that may be closed by now.
     */
    void closeSurplus() {
        while (heldConnections() > maxConnections && !closing.isEmpty()) {
            C oldest = closing.iterator().next();
            closing.remove(oldest);
            closer.closeNow(oldest);
        }
        int surplus = heldConnections() - maxConnections;
        for (int i = 0; i < surplus && !awaiting.isEmpty(); i++) {
            closeUnlessHeard(awaiting.iterator().next(), awaiting);
        }
        while (open.size() > maxConnections
                && !idle.isEmpty()
                && standingMs(idle.iterator().next()) >= KEEP_ALIVE_CROWDED_MS) {
            closeUnlessHeard(idle.iterator().next(), idle);
        }
    }

    /** Closes one of these, unless what has come on it up to this moment makes it none of them. */
    private void closeUnlessHeard(C connection, Set<C> these) {
        closer.readUnread(connection);
        if (these.contains(connection)) {
            close(connection);
        }
    }

    private double standingMs(C connection) {
        return clock.getAsDouble() - open.get(connection).sinceMs;
    }

    /** The head of a request has come; false if nothing more is taken from this connection. */
    boolean requestBegun(C connection) {
        State state = open.get(connection);
        if (state == null || state.unheard) {
            return false;
        }
        if (idle.remove(connection)) {
            state.sinceMs = clock.getAsDouble();
            state.marked = false;
            awaiting.add(connection);
        }
        receiving.add(connection);
        return true;
    }

    /** A request has come in whole. */
    void requestReceived(C connection) {
        State state = open.get(connection);
        if (state != null) {
            state.marked = false;
            awaiting.remove(connection);
            receiving.remove(connection);
        }
    }

    /** The answer is written out. */
    void answered(C connection) {
        State state = open.get(connection);
        if (state != null && !state.lastAnswer) {
            state.sinceMs = clock.getAsDouble();
            awaiting.remove(connection);
            receiving.remove(connection);
            idle.add(connection);
        }
    }

    /**
     * More was sent than may wait: what else it sends is not heard, and its next answer is its
     * last.
     */
    void flooded(C connection) {
        State state = open.get(connection);
        if (state != null) {
            state.unheard = true;
            if (idle.contains(connection)) {
                close(connection);
            }
        }
    }

    /** Its last answer is being written; what else it sends is not heard. */
    void lastAnswerBegun(C connection) {
        State state = open.get(connection);
        if (state != null && !state.lastAnswer) {
            state.unheard = true;
            state.lastAnswer = true;
            state.sinceMs = clock.getAsDouble();
            idle.remove(connection);
            awaiting.add(connection);
        }
    }

    /** When it came. */
    ConnectionArrival arrival(C connection) {
        return open.get(connection).arrival;
    }

    /** Whether its next answer has to be its last. */
    boolean isUnheard(C connection) {
        State state = open.get(connection);
        return state == null || state.unheard;
    }

    /**
     * Whether so many are held that clients are asked to close after an answer, which loses
     * nothing.
     */
    boolean isCrowded() {
        return heldConnections() > maxConnections / 2;
    }

    /**
     * Marks those that await a request or are idle for too long; true if {@link #closeMarked} is
     * due once the sockets have been read.
     */
    boolean markOverdue() {
        boolean anyAwaiting = mark(awaiting, REQUEST_TIMEOUT_MS);
        boolean anyIdle = mark(idle, isCrowded() ? KEEP_ALIVE_CROWDED_MS : KEEP_ALIVE_MS);
        return anyAwaiting || anyIdle;
    }

    /** Marks all idle ones; true if {@link #closeMarked} is due once the sockets have been read. */
    boolean markIdle() {
        return mark(idle, 0);
    }

    private boolean mark(Set<C> connections, double afterMs) {
        boolean any = false;
        for (C connection : connections) {
            if (standingMs(connection) < afterMs) {
                break;
            }
            open.get(connection).marked = true;
            any = true;
        }
        return any;
    }

    /** Closes those that are marked and of which nothing has come up to this moment. */
    void closeMarked() {
        for (C connection : List.copyOf(open.keySet())) {
            if (isMarked(connection)) {
                closer.readUnread(connection);
            }
            if (isMarked(connection)) {
                close(connection);
            }
        }
    }

    private boolean isMarked(C connection) {
        State state = open.get(connection);
        return state != null && state.marked;
    }

    /**
     * Ends it: neither answers that aren't read nor requests that wait behind hold up its end for
     * long.
     */
    void close(C connection) {
        if (forget(connection)) {
            closing.add(connection);
            closer.close(connection);
        }
    }

    /** The HTTP server itself ends it, as its client asked. */
    void closingByHttpServer(C connection) {
        if (forget(connection)) {
            closing.add(connection);
        }
    }

    /** It is closed. */
    void closed(C connection) {
        forget(connection);
        closing.remove(connection);
    }

    private boolean forget(C connection) {
        awaiting.remove(connection);
        idle.remove(connection);
        receiving.remove(connection);
        return open.remove(connection) != null;
    }

    /**
     * Connections on which a request has begun to come in, or that are so new that one is most
     * likely on its way.
     */
    int arriving() {
        int arriving = receiving.size();
        for (C connection : awaiting) {
            if (!receiving.contains(connection)
                    && standingMs(connection) < ARRIVING_AFTER_ACCEPT_MS) {
                arriving++;
            }
        }
        return arriving;
    }

    /** Those that are open or being closed. */
    int size() {
        return heldConnections();
    }
}
