package sprucehold.clients;

import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.impl.HttpServerConnection;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.DoubleSupplier;

/**
 * The connections of clients: how many there may be, and which are closed for holding a place without need. A
 * connection is <em>new</em> until a request of its has come in whole, and again while a further one comes in;
 * <em>busy</em> until that is answered; and then <em>kept</em>.
 */
final class ClientConnections {
    /** Who hasn't sent a whole request after this time is closed, with time to spare to the 3 s of the protocol. */
    static final double NEW_MS = 2500;
    /** A kept connection may be closed after 2 s; with room to spare there is no hurry. */
    static final double KEPT_MS = 20_000;
    static final double KEPT_CROWDED_MS = 2000;

    private static final class State {
        double since;
        boolean closing;

        State(double since) {
            this.since = since;
        }
    }

    private final int most;
    private final DoubleSupplier clock;
    private final Map<HttpConnection, State> all = new HashMap<>();
    /** Longest-standing first. */
    private final Set<HttpConnection> fresh = new LinkedHashSet<>();
    private final Set<HttpConnection> kept = new LinkedHashSet<>();

    ClientConnections(int most, DoubleSupplier clock) {
        this.most = most;
        this.clock = clock;
    }

    /** Takes a connection in; true if there are too many now and {@link #trim} is due once they have been read. */
    boolean opened(HttpConnection connection) {
        all.put(connection, new State(clock.getAsDouble()));
        fresh.add(connection);
        connection.closeHandler(none -> forget(connection));
        return all.size() > most;
    }

    /**
     * Closes what is beyond the most: the longest new ones first, since who means to ask does so at once and they
     * stand there to say nothing, then kept ones that may be closed by now.
     */
    void trim() {
        while (all.size() > most && !fresh.isEmpty()) {
            drop(fresh.iterator().next());
        }
        while (all.size() > most && !kept.isEmpty() && idleFor(kept.iterator().next()) >= KEPT_CROWDED_MS) {
            drop(kept.iterator().next());
        }
    }

    private double idleFor(HttpConnection connection) {
        return clock.getAsDouble() - all.get(connection).since;
    }

    /** The head of a request has come; false if nothing more is taken from this connection. */
    boolean begun(HttpConnection connection) {
        State state = all.get(connection);
        if (state == null || state.closing) {
            return false;
        }
        if (kept.remove(connection)) {
            state.since = clock.getAsDouble();
            fresh.add(connection);
        }
        return true;
    }

    /** A request has come in whole. */
    void busy(HttpConnection connection) {
        fresh.remove(connection);
    }

    /** The answer is written out. */
    void answered(HttpConnection connection) {
        State state = all.get(connection);
        if (state != null && !state.closing) {
            state.since = clock.getAsDouble();
            fresh.remove(connection);
            kept.add(connection);
        }
    }

    /** Its last answer is on the way; what else it sends is not heard. */
    void closing(HttpConnection connection) {
        State state = all.get(connection);
        if (state != null && !state.closing) {
            state.closing = true;
            state.since = clock.getAsDouble();
            kept.remove(connection);
            fresh.add(connection);
        }
    }

    /** Whether so many are held that clients are asked to close after an answer, which loses nothing. */
    boolean crowded() {
        return all.size() > most / 2;
    }

    void sweep() {
        closeAfter(fresh, NEW_MS);
        closeAfter(kept, crowded() ? KEPT_CROWDED_MS : KEPT_MS);
    }

    /** Closes the connections that are kept. */
    void closeKept() {
        closeAfter(kept, 0);
    }

    private void closeAfter(Set<HttpConnection> connections, double ms) {
        for (HttpConnection connection : List.copyOf(connections)) {
            if (idleFor(connection) < ms) {
                return;
            }
            drop(connection);
        }
    }

    /** Closes it at once: neither answers that aren't read nor requests that wait behind must hold up the close. */
    void drop(HttpConnection connection) {
        forget(connection);
        ((HttpServerConnection) connection).channelHandlerContext().channel().close();
    }

    private void forget(HttpConnection connection) {
        all.remove(connection);
        fresh.remove(connection);
        kept.remove(connection);
    }

    int size() {
        return all.size();
    }
}
