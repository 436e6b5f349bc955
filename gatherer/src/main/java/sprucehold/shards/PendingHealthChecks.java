package sprucehold.shards;

import java.util.ArrayDeque;
import java.util.List;
import java.util.Queue;

/**
 * Health checks of one connection that have no answer yet. The shard server answers them in order.
 */
final class PendingHealthChecks {
    /** Times at which the unanswered health checks were written, in milliseconds. */
    private final Queue<Double> writtenAtMs = new ArrayDeque<>();

    /** Number of health checks that wait for the connection to be established. */
    private int waiting;

    void addWaiting() {
        waiting++;
    }

    /** Returns the number of health checks that wait for the connection to be established. */
    int waiting() {
        return waiting;
    }

    /** Returns the number of health checks that waited for the connection, and resets it to 0. */
    int takeWaiting() {
        int taken = waiting;
        waiting = 0;
        return taken;
    }

    void addWritten(double nowMs) {
        writtenAtMs.add(nowMs);
    }

    /** Returns the number of health checks that were written and have no answer. */
    int unanswered() {
        return writtenAtMs.size();
    }

    /** Returns whether every health check that was written is answered. */
    boolean allAnswered() {
        return writtenAtMs.isEmpty();
    }

    /**
     * Removes the health check that was written first, and returns how long its answer took, in
     * milliseconds.
     */
    double removeAnswered(double nowMs) {
        return nowMs - writtenAtMs.poll();
    }

    /** Returns the times at which the unanswered health checks were written, in milliseconds. */
    List<Double> writtenAtMs() {
        return List.copyOf(writtenAtMs);
    }
}
