package sprucehold.coordinator;

import java.util.Comparator;
import java.util.PriorityQueue;

/** The attempts that were sent, by the time at which they time out. */
final class AttemptTimeouts {
    private final PriorityQueue<Attempt> queue =
            new PriorityQueue<>(Comparator.comparingDouble(Attempt::timesOutAtMs));

    void add(Attempt attempt) {
        queue.add(attempt);
    }

    /** Takes out a pending attempt whose timeout is over; null if there is none. */
    Attempt pollTimedOut(double nowMs) {
        while (!queue.isEmpty() && !queue.peek().isPending()) {
            queue.poll();
        }
        return queue.isEmpty() || queue.peek().timesOutAtMs() > nowMs ? null : queue.poll();
    }

    /** When the next pending attempt times out; infinite if none is pending. */
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
