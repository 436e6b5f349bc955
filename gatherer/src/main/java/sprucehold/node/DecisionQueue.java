package sprucehold.node;

import java.util.ArrayDeque;
import java.util.Queue;
import java.util.function.Supplier;
import sprucehold.coordinator.Commands;

/**
 * Queue of pending calls of the query coordinator, which are made in turns of bounded duration.
 * Between two turns the event loop reads its sockets. So if a client disconnects while a hundred
 * queries wait for their decisions, the close of its connection is read before the next attempt for
 * that client begins. Answers of shard servers don't look late because they were still unread. The
 * class uses no sockets, threads or clock; callers pass the time.
 */
final class DecisionQueue {
    /**
     * Maximum duration of a turn, in milliseconds, before the sockets are read again; a call that
     * has begun is finished. It is a small part of the 100 ms within which an attempt may still
     * begin after its client has disconnected, and longer than several typical calls.
     */
    static final double MAX_TURN_MS = 5;

    private final Queue<Supplier<Commands>> calls = new ArrayDeque<>();
    private double turnEndsAtMs = Double.NEGATIVE_INFINITY;

    /** Appends a call to the queue. */
    void add(Supplier<Commands> call) {
        calls.add(call);
    }

    boolean isEmpty() {
        return calls.isEmpty();
    }

    /** Begins a turn. At least one call can be taken in each turn, however long it runs. */
    void beginTurn(double nowMs) {
        turnEndsAtMs = nowMs + MAX_TURN_MS;
    }

    /**
     * Removes and returns the next call of this turn; returns null once the turn is over or the
     * queue is empty.
     */
    Supplier<Commands> next(double nowMs) {
        return nowMs < turnEndsAtMs ? calls.poll() : null;
    }
}
