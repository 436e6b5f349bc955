package sprucehold.coordinator;

import java.util.Comparator;
import java.util.NavigableSet;
import java.util.TreeSet;

/**
 * The pending attempts, ordered by the time at which they time out. An attempt is removed as soon
 * as it ends, since it holds the body of its query.
 */
final class AttemptTimeouts {
    private final NavigableSet<Attempt> attempts =
            new TreeSet<>(
                    Comparator.comparingDouble(Attempt::timesOutAtMs)
                            .thenComparing(Attempt::partId)
                            .thenComparingInt(Attempt::number));

    void add(Attempt attempt) {
        attempts.add(attempt);
    }

    /** Removes an attempt that has ended; has no effect if it isn't contained. */
    void remove(Attempt attempt) {
        attempts.remove(attempt);
    }

    /**
     * Removes and returns a pending attempt whose timeout has expired, or null if there is none.
     */
    Attempt pollTimedOut(double nowMs) {
        return nextAtMs() > nowMs ? null : attempts.pollFirst();
    }

    /**
     * Returns the time at which the next pending attempt times out; infinite if none is pending.
     */
    double nextAtMs() {
        return attempts.isEmpty() ? Double.POSITIVE_INFINITY : attempts.first().timesOutAtMs();
    }

    int size() {
        return attempts.size();
    }
}
