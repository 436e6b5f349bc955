package sprucehold.clients;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.DoubleSupplier;

/**
 * Decides when clients' connections are closed: it limits their number and closes those that await
 * a request or are idle for too long. Other classes close a connection only through this class;
 * {@link LingeringClose} implements <em>how</em> it is closed.
 *
 * <pre>
 *              head of a request          whole request         answer written
 *   AWAITING ---------------------&gt; AWAITING ---------&gt; BUSY ----------------&gt; IDLE --head--&gt; AWAITING
 *      |  too old, or too many of them                    |  last answer           |  too old, crowded, or draining
 *      v                                                  v                        v
 *   CLOSING &lt;------------- written, or too old ----- LAST ANSWER               CLOSING --closed--&gt; removed
 * </pre>
 *
 * No connection is closed because of its age before the sockets have been read once more ({@link
 * #markOverdue}, then {@link #closeMarked}): a request that is complete in the kernel's receive
 * buffer counts as received, and its connection as not idle. This class uses no sockets and no
 * threads. Times are in milliseconds.
 *
 * @param <C> type of a connection
 */
final class ClientConnections<C> {
    /**
     * Time after which a connection without a complete request is closed. The protocol's limit for
     * this close is 3 s; the difference is a margin.
     */
    static final double REQUEST_TIMEOUT_MS = 2500;

    /**
     * Time after which an idle connection is closed. The protocol allows a close after 2 s, but
     * while few connections are open an early close gains nothing.
     */
    static final double KEEP_ALIVE_MS = 20_000;

    /**
     * Time after which an idle connection is closed while more than half of the maximum number of
     * connections are in use.
     */
    static final double KEEP_ALIVE_CROWDED_MS = 2000;

    /**
     * Time after the accept within which the first request is expected. A client that opens a
     * connection for a request sends it at once; the time covers the network delay and some passes
     * over the sockets.
     */
    private static final double ARRIVING_AFTER_ACCEPT_MS = 20;

    /**
     * Time after which a connection is closed whose client has not read its answer completely. It
     * is longer than any client is likely to wait for an answer.
     */
    static final double ANSWER_TIMEOUT_MS = 20_000;

    /**
     * Maximum duration of one call of {@link #closeMarked}, in milliseconds, so that reading the
     * unread input of many connections doesn't delay the event loop.
     */
    static final double MAX_CLOSE_TURN_MS = 5;

    /** Operations on a connection. */
    interface Closer<C> {
        /**
         * Reads the unread input of the connection, as much as one request may have, so that a
         * request its client has sent up to now is reported.
         */
        void readUnread(C connection);

        /**
         * Closes the connection so that answers already written are still delivered. {@link
         * ClientConnections#closed} is called when this is done.
         */
        void close(C connection);

        /** Closes the connection at once. Answers already written may be lost. */
        void closeNow(C connection);
    }

    /** State of an open connection. */
    private static final class State {
        /**
         * Time at which the connection began to await a request, became idle, or began to have its
         * last answer written, whichever was the latest.
         */
        double sinceMs;

        /** Whether further input is ignored, which makes the next answer the last. */
        boolean inputIgnored;

        /** Whether the last answer is being written. */
        boolean lastAnswer;

        /**
         * Whether the connection is to be closed unless the next pass over the sockets reads a
         * request from it.
         */
        boolean marked;

        final ConnectionArrival arrival;

        State(ConnectionArrival arrival) {
            this.arrival = arrival;
            this.sinceMs = arrival.acceptedAtMs();
        }
    }

    private final int maxConnections;
    private final DoubleSupplier clock;
    private final Closer<C> closer;
    private final Map<C, State> open = new HashMap<>();

    /**
     * Connections without a complete request, and those whose last answer is being written; the
     * longest-waiting first.
     */
    private final Set<C> awaiting = new LinkedHashSet<>();

    /**
     * Connections whose requests are answered and that are kept open for another request; the
     * longest-idle first.
     */
    private final Set<C> idle = new LinkedHashSet<>();

    /**
     * Connections being closed, until the client closes too or a time limit ends; the oldest close
     * first.
     */
    private final Set<C> closing = new LinkedHashSet<>();

    /** Connections whose clients have not read an answer completely; the oldest answer first. */
    private final Set<C> answering = new LinkedHashSet<>();

    /** Connections on which a request has been received in part. */
    private final Set<C> receiving = new LinkedHashSet<>();

    ClientConnections(int maxConnections, DoubleSupplier clock, Closer<C> closer) {
        this.maxConnections = maxConnections;
        this.clock = clock;
        this.closer = closer;
    }

    /**
     * Adds an accepted connection. Returns true if there are too many connections now; the caller
     * then calls {@link #closeSurplus} after the sockets have been read.
     *
     * @param earliestConnectedAtMs earliest time at which the connection can have been established;
     *     it may have waited in the listen backlog before it was accepted
     */
    boolean opened(C connection, double earliestConnectedAtMs) {
        open.put(
                connection,
                new State(new ConnectionArrival(earliestConnectedAtMs, clock.getAsDouble())));
        awaiting.add(connection);
        return connectionCount() > maxConnections;
    }

    private int connectionCount() {
        return open.size() + closing.size();
    }

    /**
     * Closes the connections in excess of the maximum. First it ends the lingering closes, the
     * oldest first. Then it closes the connections that have awaited a request the longest, since a
     * client that opens a connection for a request sends it at once. Then it closes idle
     * connections that the protocol allows to be closed.
     */
    void closeSurplus() {
        while (connectionCount() > maxConnections && !closing.isEmpty()) {
            C oldest = closing.iterator().next();
            closing.remove(oldest);
            closer.closeNow(oldest);
        }
        int surplus = connectionCount() - maxConnections;
        for (int i = 0; i < surplus && !awaiting.isEmpty(); i++) {
            closeIfStillIn(awaiting.iterator().next(), awaiting);
        }
        while (open.size() > maxConnections
                && !idle.isEmpty()
                && timeInStateMs(idle.iterator().next()) >= KEEP_ALIVE_CROWDED_MS) {
            closeIfStillIn(idle.iterator().next(), idle);
        }
    }

    /**
     * Closes a connection of the given set, unless input received up to now removes it from the
     * set.
     */
    private void closeIfStillIn(C connection, Set<C> group) {
        closer.readUnread(connection);
        if (group.contains(connection)) {
            close(connection);
        }
    }

    private double timeInStateMs(C connection) {
        return clock.getAsDouble() - open.get(connection).sinceMs;
    }

    /**
     * Records that the headers of a request were received. Returns false if the connection's input
     * is ignored.
     */
    boolean requestBegun(C connection) {
        State state = open.get(connection);
        if (state == null || state.inputIgnored) {
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

    /** Records that a complete request was received. */
    void requestReceived(C connection) {
        State state = open.get(connection);
        if (state != null) {
            state.marked = false;
            awaiting.remove(connection);
            receiving.remove(connection);
        }
    }

    /** Records that an answer is being written after which the connection stays open. */
    void answerBegun(C connection) {
        State state = open.get(connection);
        if (state != null && !state.lastAnswer) {
            state.sinceMs = clock.getAsDouble();
            answering.add(connection);
        }
    }

    /** Records that an answer was completely written. */
    void answered(C connection) {
        State state = open.get(connection);
        if (state != null && !state.lastAnswer) {
            state.sinceMs = clock.getAsDouble();
            state.marked = false;
            answering.remove(connection);
            awaiting.remove(connection);
            receiving.remove(connection);
            idle.add(connection);
        }
    }

    /**
     * Records that the client exceeded the input buffer limit. Further input is ignored, and the
     * next answer is the last.
     */
    void inputOverflowed(C connection) {
        State state = open.get(connection);
        if (state != null) {
            state.inputIgnored = true;
            if (idle.contains(connection)) {
                close(connection);
            }
        }
    }

    /** Records that the connection's last answer is being written. Further input is ignored. */
    void lastAnswerBegun(C connection) {
        State state = open.get(connection);
        if (state != null && !state.lastAnswer) {
            state.inputIgnored = true;
            state.lastAnswer = true;
            state.sinceMs = clock.getAsDouble();
            idle.remove(connection);
            awaiting.add(connection);
        }
    }

    /** Returns when the connection was established and accepted. */
    ConnectionArrival arrival(C connection) {
        return open.get(connection).arrival;
    }

    /** Returns whether further input is ignored, so that the next answer has to be the last. */
    boolean isInputIgnored(C connection) {
        State state = open.get(connection);
        return state == null || state.inputIgnored;
    }

    /**
     * Returns whether more than half of the maximum number of connections are in use. Each answer
     * then asks its client to close the connection, which loses no request.
     */
    boolean isCrowded() {
        return connectionCount() > maxConnections / 2;
    }

    /**
     * Marks the connections that have awaited a request or been idle for too long. Returns true if
     * there are any; the caller then calls {@link #closeMarked} after the sockets have been read.
     */
    boolean markOverdue() {
        boolean anyAwaiting = mark(awaiting, REQUEST_TIMEOUT_MS);
        boolean anyIdle = mark(idle, isCrowded() ? KEEP_ALIVE_CROWDED_MS : KEEP_ALIVE_MS);
        boolean anyAnswering = mark(answering, ANSWER_TIMEOUT_MS);
        return anyAwaiting || anyIdle || anyAnswering;
    }

    /**
     * Marks all idle connections. Returns true if there are any; the caller then calls {@link
     * #closeMarked} after the sockets have been read.
     */
    boolean markIdle() {
        return mark(idle, 0);
    }

    private boolean mark(Set<C> connections, double afterMs) {
        boolean any = false;
        for (C connection : connections) {
            if (timeInStateMs(connection) < afterMs) {
                break;
            }
            open.get(connection).marked = true;
            any = true;
        }
        return any;
    }

    /**
     * Closes the marked connections from which no request has been received since they were marked.
     * Unread input is read first. Returns true if the time limit of a call ended it before all were
     * closed; the caller then calls it again after the sockets have been read.
     */
    boolean closeMarked() {
        double endsAtMs = clock.getAsDouble() + MAX_CLOSE_TURN_MS;
        for (C connection : List.copyOf(open.keySet())) {
            if (!isMarked(connection)) {
                continue;
            }
            if (clock.getAsDouble() > endsAtMs) {
                return true;
            }
            closer.readUnread(connection);
            if (isMarked(connection)) {
                close(connection);
            }
        }
        return false;
    }

    private boolean isMarked(C connection) {
        State state = open.get(connection);
        return state != null && state.marked;
    }

    /**
     * Closes a connection. Neither an answer that the client doesn't read nor requests that wait in
     * the pipeline delay the close beyond its time limit.
     */
    void close(C connection) {
        if (removeOpen(connection)) {
            closing.add(connection);
            closer.close(connection);
        }
    }

    /** Closes a connection at once. An answer that is being written may be lost. */
    void abort(C connection) {
        if (removeOpen(connection)) {
            closing.add(connection);
            closer.closeNow(connection);
        }
    }

    /**
     * Records that the HTTP server itself closes the connection, for example at the client's
     * request. Has no effect on a connection that is already being closed.
     */
    void closingByHttpServer(C connection) {
        if (removeOpen(connection)) {
            closing.add(connection);
        }
    }

    /** Records that the connection is closed. */
    void closed(C connection) {
        removeOpen(connection);
        closing.remove(connection);
    }

    private boolean removeOpen(C connection) {
        awaiting.remove(connection);
        idle.remove(connection);
        receiving.remove(connection);
        answering.remove(connection);
        return open.remove(connection) != null;
    }

    /**
     * Returns the number of connections on which a request has been received in part, or that are
     * so new that a request is probably on its way.
     */
    int arriving() {
        int arriving = receiving.size();
        for (C connection : awaiting) {
            if (!receiving.contains(connection)
                    && timeInStateMs(connection) < ARRIVING_AFTER_ACCEPT_MS) {
                arriving++;
            }
        }
        return arriving;
    }

    /** Returns the number of connections that are open or being closed. */
    int size() {
        return connectionCount();
    }
}
