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
 *            head of a request            whole request          answer written
 *   NEW  ----------------------------&gt; NEW --------------&gt; BUSY ----------------&gt; KEPT --head--&gt; NEW
 *    |  too old, or too many of them                        |  last answer         |  idle, crowded, or draining
 *    v                                                      v                      v
 *   SHUT &lt;----------------- written, or too old ---------- LAST                   SHUT --gone--&gt; forgotten
 * </pre>
 *
 * Nothing is shut by its age before the sockets were read once more ({@link #sweep}, then {@link
 * #settle}): a request that lies whole in the system's buffer has been taken, and its connection
 * isn't idle. Pure: no sockets, no threads.
 */
final class ClientConnections<C> {
    /**
     * Who hasn't sent a whole request after this time is closed, with time to spare to the 3 s of
     * the protocol.
     */
    static final double NEW_MS = 2500;

    /** A kept connection may be closed after 2 s; with room to spare there is no hurry. */
    static final double KEPT_MS = 20_000;

    static final double KEPT_CROWDED_MS = 2000;

    /** Who opens a connection to ask does so at once: some passes over the sockets, and the way. */
    private static final double ARRIVING_MS = 20;

    /** What is done to a connection. */
    interface Closer<C> {
        /** Reads what lies unread on it, so that what its client sent before now is told of. */
        void readUnread(C connection);

        /** Ends it so that what was written still arrives; {@link #gone} follows. */
        void shut(C connection);

        /** Ends it at once, whatever becomes of what was written. */
        void cut(C connection);
    }

    private static final class State {
        double since;

        /** What else it sends is not heard: its next answer is its last. */
        boolean unheard;

        /** That answer is on the way. */
        boolean last;

        /** To be shut unless the next pass over the sockets brings something of it. */
        boolean doomed;

        final ConnectionArrival arrival;

        State(ConnectionArrival arrival) {
            this.arrival = arrival;
            this.since = arrival.openedAt();
        }
    }

    private final int most;
    private final DoubleSupplier clock;
    private final Closer<C> closer;
    private final Map<C, State> all = new HashMap<>();

    /** Longest-standing first. */
    private final Set<C> fresh = new LinkedHashSet<>();

    private final Set<C> kept = new LinkedHashSet<>();

    /**
     * Shut and not gone, which takes the other side's close or a bounded time; the longest-standing
     * first.
     */
    private final Set<C> shut = new LinkedHashSet<>();

    /** Those on which a request has begun to come in and isn't whole. */
    private final Set<C> begun = new LinkedHashSet<>();

    ClientConnections(int most, DoubleSupplier clock, Closer<C> closer) {
        this.most = most;
        this.clock = clock;
        this.closer = closer;
    }

    /**
     * Takes a connection in; true if there are too many now and {@link #trim} is due once they have
     * been read.
     *
     * @param connectedSince since when it may have been connected: before it was accepted it waited
     *     in the backlog
     */
    boolean opened(C connection, double connectedSince) {
        all.put(connection, new State(new ConnectionArrival(connectedSince, clock.getAsDouble())));
        fresh.add(connection);
        return held() > most;
    }

    private int held() {
        return all.size() + shut.size();
    }

    /**
     * Closes what is beyond the most: what is shut already, whose other side had its time; the
     * longest new ones, since who means to ask does so at once and they stand there to say nothing;
     * then kept ones that may be closed by now.
     */
    void trim() {
        while (held() > most && !shut.isEmpty()) {
            C oldest = shut.iterator().next();
            shut.remove(oldest);
            closer.cut(oldest);
        }
        int beyond = held() - most;
        for (int i = 0; i < beyond && !fresh.isEmpty(); i++) {
            shutUnlessHeard(fresh.iterator().next(), fresh);
        }
        while (all.size() > most
                && !kept.isEmpty()
                && idleFor(kept.iterator().next()) >= KEPT_CROWDED_MS) {
            shutUnlessHeard(kept.iterator().next(), kept);
        }
    }

    /** Shuts one of these, unless what has come on it up to this moment makes it none of them. */
    private void shutUnlessHeard(C connection, Set<C> these) {
        closer.readUnread(connection);
        if (these.contains(connection)) {
            shut(connection);
        }
    }

    private double idleFor(C connection) {
        return clock.getAsDouble() - all.get(connection).since;
    }

    /** The head of a request has come; false if nothing more is taken from this connection. */
    boolean begun(C connection) {
        State state = all.get(connection);
        if (state == null || state.unheard) {
            return false;
        }
        if (kept.remove(connection)) {
            state.since = clock.getAsDouble();
            state.doomed = false;
            fresh.add(connection);
        }
        begun.add(connection);
        return true;
    }

    /** A request has come in whole. */
    void busy(C connection) {
        State state = all.get(connection);
        if (state != null) {
            state.doomed = false;
            fresh.remove(connection);
            begun.remove(connection);
        }
    }

    /** The answer is written out. */
    void answered(C connection) {
        State state = all.get(connection);
        if (state != null && !state.last) {
            state.since = clock.getAsDouble();
            fresh.remove(connection);
            begun.remove(connection);
            kept.add(connection);
        }
    }

    /**
     * More was sent than may wait: what else it sends is not heard, and its next answer is its
     * last.
     */
    void flooded(C connection) {
        State state = all.get(connection);
        if (state != null) {
            state.unheard = true;
            if (kept.contains(connection)) {
                shut(connection);
            }
        }
    }

    /** Its last answer is on the way; what else it sends is not heard. */
    void last(C connection) {
        State state = all.get(connection);
        if (state != null && !state.last) {
            state.unheard = true;
            state.last = true;
            state.since = clock.getAsDouble();
            kept.remove(connection);
            fresh.add(connection);
        }
    }

    /** When it came. */
    ConnectionArrival arrival(C connection) {
        return all.get(connection).arrival;
    }

    /** Whether its next answer has to be its last. */
    boolean isUnheard(C connection) {
        State state = all.get(connection);
        return state == null || state.unheard;
    }

    /**
     * Whether so many are held that clients are asked to close after an answer, which loses
     * nothing.
     */
    boolean crowded() {
        return held() > most / 2;
    }

    /**
     * Looks for those that stand too long; true if {@link #settle} is due once the sockets have
     * been read.
     */
    boolean sweep() {
        boolean anyNew = doom(fresh, NEW_MS);
        boolean anyKept = doom(kept, crowded() ? KEPT_CROWDED_MS : KEPT_MS);
        return anyNew || anyKept;
    }

    /**
     * Looks for all that are kept; true if {@link #settle} is due once the sockets have been read.
     */
    boolean sweepKept() {
        return doom(kept, 0);
    }

    private boolean doom(Set<C> connections, double ms) {
        boolean any = false;
        for (C connection : connections) {
            if (idleFor(connection) < ms) {
                break;
            }
            all.get(connection).doomed = true;
            any = true;
        }
        return any;
    }

    /** Shuts those that a sweep found and of which nothing has come up to this moment. */
    void settle() {
        for (C connection : List.copyOf(all.keySet())) {
            if (isDoomed(connection)) {
                closer.readUnread(connection);
            }
            if (isDoomed(connection)) {
                shut(connection);
            }
        }
    }

    private boolean isDoomed(C connection) {
        State state = all.get(connection);
        return state != null && state.doomed;
    }

    /**
     * Ends it: neither answers that aren't read nor requests that wait behind hold up its end for
     * long.
     */
    void shut(C connection) {
        if (forget(connection)) {
            shut.add(connection);
            closer.shut(connection);
        }
    }

    /** The HTTP server itself ends it, as its client asked. */
    void shutting(C connection) {
        if (forget(connection)) {
            shut.add(connection);
        }
    }

    /** It is closed. */
    void gone(C connection) {
        forget(connection);
        shut.remove(connection);
    }

    private boolean forget(C connection) {
        fresh.remove(connection);
        kept.remove(connection);
        begun.remove(connection);
        return all.remove(connection) != null;
    }

    /**
     * Connections on which a request has begun to come in, or that are so new that one is most
     * likely on its way.
     */
    int arriving() {
        int arriving = begun.size();
        for (C connection : fresh) {
            arriving += !begun.contains(connection) && idleFor(connection) < ARRIVING_MS ? 1 : 0;
        }
        return arriving;
    }

    /** Those that are open or being closed. */
    int size() {
        return held();
    }
}
