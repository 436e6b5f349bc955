package sprucehold.coordinator;

import java.util.Comparator;
import java.util.PriorityQueue;

/** Queue of the attempts that were sent, ordered by the time at which they time out. */
final class AttemptTimeouts {
    private final PriorityQueue<Attempt> queue =
            new PriorityQueue<>(Comparator.comparingDouble(Attempt::timesOutAtMs));

    void add(Attempt attempt) {
        queue.add(attempt);
    }

    /**
     * Removes and returns a pending attempt whose timeout has expired, or null if there is none.
     */
    Attempt pollTimedOut(double nowMs) {
        while (!queue.isEmpty() && !queue.peek().isPending()) {
            queue.poll();
        }
        return queue.isEmpty() || queue.peek().timesOutAtMs() > nowMs ? null : queue.poll();
    }

    /**
     * Returns the time at which the next pending attempt times out; infinite if none is pending.
     */
    double nextAtMs() {
        while (!queue.isEmpty() && !queue.peek().isPending()) {
            queue.poll();
        }
        return queue.isEmpty() ? Double.POSITIVE_INFINITY : queue.peek().timesOutAtMs();
    }

    int size() {
        return queue.size();
    }
}
