package sprucehold.shards;

import java.util.ArrayDeque;
import java.util.List;
import java.util.Queue;

/** The health checks of one connection that have no answer yet; they are answered in order. */
final class PendingHealthChecks {
    /** When each that was written was written, in milliseconds. */
    private final Queue<Double> writtenAtMs = new ArrayDeque<>();

    /** How many wait for the connection to come up. */
    private int waiting;

    void await() {
        waiting++;
    }

    /** How many wait for the connection to come up. */
    int waiting() {
        return waiting;
    }

    /** The connection is up: hands over how many waited for it. */
    int takeWaiting() {
        int taken = waiting;
        waiting = 0;
        return taken;
    }

    void written(double nowMs) {
        writtenAtMs.add(nowMs);
    }

    /** Whether none that was written is without an answer. */
    boolean noneWritten() {
        return writtenAtMs.isEmpty();
    }

    /** The one written first is answered: how long it took, in milliseconds. */
    double answered(double nowMs) {
        return nowMs - writtenAtMs.poll();
    }

    /** When each that has no answer was written, in milliseconds. */
    List<Double> writtenAtMs() {
        return List.copyOf(writtenAtMs);
    }
}
