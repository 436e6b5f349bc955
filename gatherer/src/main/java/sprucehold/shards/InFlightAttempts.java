package sprucehold.shards;

import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** The parts that were written to one connection and whose answers may still come on it. */
final class InFlightAttempts {
    /** More than a server of the usual size runs and queues, for all gatherers together. */
    private static final int MAX_CANCELLED = 1024;

    private final Map<String, InFlightAttempt> byPartId = new LinkedHashMap<>();

    /**
     * Parts cancelled whose answers may still come, the longest-standing first. A server that stood
     * still for minutes answers all that it held, and that is no fault; so not time bounds them but
     * their number.
     */
    private final Set<String> cancelledPartIds = new LinkedHashSet<>();

    /** How many aren't cancelled. */
    int size() {
        return byPartId.size();
    }

    boolean isEmpty() {
        return byPartId.isEmpty();
    }

    /** Whether an answer to the part may come, wanted or not. */
    boolean mayBeAnswered(String partId) {
        return byPartId.containsKey(partId) || cancelledPartIds.contains(partId);
    }

    void add(InFlightAttempt inFlight) {
        byPartId.put(inFlight.attempt.partId(), inFlight);
    }

    /** The attempt of a part that isn't cancelled, or null. */
    InFlightAttempt find(String partId) {
        return byPartId.get(partId);
    }

    /** Takes out the attempt of a part that isn't cancelled; null if there is none. */
    InFlightAttempt remove(String partId) {
        return byPartId.remove(partId);
    }

    /** Takes out this very attempt; false if it isn't in here. */
    boolean remove(InFlightAttempt inFlight) {
        return byPartId.remove(inFlight.attempt.partId(), inFlight);
    }

    /** The answer to a part isn't wanted any more, and may come all the same. */
    void cancel(String partId) {
        byPartId.remove(partId);
        cancelledPartIds.add(partId);
        if (cancelledPartIds.size() > MAX_CANCELLED) {
            cancelledPartIds.remove(cancelledPartIds.iterator().next());
        }
    }

    /** Takes out a cancelled part; false if it isn't in here. */
    boolean removeCancelled(String partId) {
        return cancelledPartIds.remove(partId);
    }

    /** Takes out all that aren't cancelled, in the order written. */
    List<InFlightAttempt> removeAll() {
        List<InFlightAttempt> all = List.copyOf(byPartId.values());
        byPartId.clear();
        return all;
    }

    /** Whether one was written at that moment or after it, and longer ago than a time. */
    boolean anyWrittenSince(double sinceMs, double nowMs, double longerAgoMs) {
        return byPartId.values().stream()
                .anyMatch(
                        inFlight ->
                                inFlight.writtenAtMs >= sinceMs
                                        && nowMs - inFlight.writtenAtMs > longerAgoMs);
    }
}
