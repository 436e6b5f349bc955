package sprucehold.node;

import java.util.ArrayDeque;
import java.util.Queue;
import java.util.function.Supplier;
import sprucehold.coordinator.Commands;

/**
 * Calls of the decisions that wait for their turn, made in turns of bounded length. Between two
 * turns the event loop reads its sockets: a client that leaves while a hundred queries are decided
 * upon is seen before the next attempt for it begins, and what shard servers answer isn't taken for
 * late because it lies unread. Pure: no sockets, no threads, the time is handed in.
 */
final class DecisionQueue {
    /**
     * How long a turn lasts, in milliseconds, before the sockets are read again; the call under way
     * is finished. A small part of the 100 ms within which an attempt for a client that left may
     * still begin, and longer than several usual calls.
     */
    static final double MAX_TURN_MS = 5;

    private final Queue<Supplier<Commands>> calls = new ArrayDeque<>();
    private double turnEndsAtMs = Double.NEGATIVE_INFINITY;

    /** Adds a call behind all that wait. */
    void add(Supplier<Commands> call) {
        calls.add(call);
    }

    boolean isEmpty() {
        return calls.isEmpty();
    }

    /** Begins a turn, in which at least one call is made. */
    void beginTurn(double nowMs) {
        turnEndsAtMs = nowMs + MAX_TURN_MS;
    }

    /** The next call of this turn; null once the turn is over or nothing waits. */
    Supplier<Commands> next(double nowMs) {
        return nowMs < turnEndsAtMs ? calls.poll() : null;
    }
}
