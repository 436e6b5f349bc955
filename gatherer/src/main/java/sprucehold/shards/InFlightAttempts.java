package sprucehold.shards;

import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Attempts that were written to one connection and whose answers may still arrive on it. */
final class InFlightAttempts {
    /**
     * Maximum number of cancelled parts remembered. It exceeds the number of parts that a shard
     * server of typical size runs and queues for all gatherers together.
     */
    private static final int MAX_CANCELLED = 1024;

    private final Map<String, InFlightAttempt> byPartId = new LinkedHashMap<>();

    /**
     * Ids of cancelled parts whose answers may still arrive, the earliest cancelled first. Their
     * number is limited rather than their age: a shard server that was stopped for minutes answers
     * all its parts when it resumes, which is not a fault.
     */
    private final Set<String> cancelledPartIds = new LinkedHashSet<>();

    /** Returns the number of attempts that aren't cancelled. */
    int size() {
        return byPartId.size();
    }

    boolean isEmpty() {
        return byPartId.isEmpty();
    }

    /** Returns whether an answer to the part may still arrive, even if the part is cancelled. */
    boolean mayBeAnswered(String partId) {
        return byPartId.containsKey(partId) || cancelledPartIds.contains(partId);
    }

    void add(InFlightAttempt inFlight) {
        byPartId.put(inFlight.attempt.partId(), inFlight);
    }

    /** Returns the attempt of a part that isn't cancelled, or null. */
    InFlightAttempt find(String partId) {
        return byPartId.get(partId);
    }

    /**
     * Removes and returns the attempt of a part that isn't cancelled, or returns null if there is
     * none.
     */
    InFlightAttempt remove(String partId) {
        return byPartId.remove(partId);
    }

    /** Removes this attempt, compared by identity. Returns false if it isn't contained. */
    boolean remove(InFlightAttempt inFlight) {
        return byPartId.remove(inFlight.attempt.partId(), inFlight);
    }

    /** Marks a part as cancelled; its answer may still arrive. */
    void cancel(String partId) {
        byPartId.remove(partId);
        cancelledPartIds.add(partId);
        if (cancelledPartIds.size() > MAX_CANCELLED) {
            cancelledPartIds.remove(cancelledPartIds.iterator().next());
        }
    }

    /** Removes a cancelled part. Returns false if it isn't contained. */
    boolean removeCancelled(String partId) {
        return cancelledPartIds.remove(partId);
    }

    /**
     * Removes and returns all attempts that aren't cancelled, in the order in which they were
     * written.
     */
    List<InFlightAttempt> removeAll() {
        List<InFlightAttempt> all = List.copyOf(byPartId.values());
        byPartId.clear();
        return all;
    }

    /**
     * Returns whether any attempt was written at or after {@code sinceMs} and more than {@code
     * minAgeMs} before {@code nowMs}.
     */
    boolean anyWrittenSince(double sinceMs, double nowMs, double minAgeMs) {
        return byPartId.values().stream()
                .anyMatch(
                        inFlight ->
                                inFlight.writtenAtMs >= sinceMs
                                        && nowMs - inFlight.writtenAtMs > minAgeMs);
    }
}
