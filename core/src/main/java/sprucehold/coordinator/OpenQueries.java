package sprucehold.coordinator;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import sprucehold.decision.QueryClass;

/**
 * The queries that have no final answer yet, by id and by deadline, and the parts that are open or
 * have a pending attempt, by id.
 */
final class OpenQueries {
    private final Map<String, OpenQuery> queries = new HashMap<>();
    private final Map<String, OpenPart> parts = new HashMap<>();
    private final PriorityQueue<OpenQuery> deadlines =
            new PriorityQueue<>(Comparator.comparingDouble(query -> query.deadlineAtMs));

    /** How many parts the open queries have. */
    private int openParts;

    void add(OpenQuery query) {
        queries.put(query.query.id(), query);
        deadlines.add(query);
        openParts += query.parts.size();
        query.parts.forEach(part -> parts.put(part.id, part));
    }

    /** The open query of an id, or null. */
    OpenQuery find(String queryId) {
        return queries.get(queryId);
    }

    /** The part of an id that is open or has a pending attempt, or null. */
    OpenPart findPart(String partId) {
        return parts.get(partId);
    }

    /** Whether a query of the same id is open, or an attempt for one is pending. */
    boolean isOpen(Query query) {
        return queries.containsKey(query.id())
                || query.parts().stream()
                        .anyMatch(part -> parts.containsKey(OpenPart.idOf(query, part.shard())));
    }

    int size() {
        return queries.size();
    }

    /** Open queries and their parts together. */
    int items() {
        return queries.size() + openParts;
    }

    /** The query has its answer, or needs none any more. */
    void close(OpenQuery query) {
        query.markOver();
        queries.remove(query.query.id());
        openParts -= query.parts.size();
        query.parts.forEach(part -> part.value = null);
        query.parts.forEach(this::removeIfDone);
    }

    /** Removes a part whose query is over and which has no pending attempt. */
    void removeIfDone(OpenPart part) {
        if (part.query.isOver() && !part.hasPendingAttempt()) {
            parts.remove(part.id, part);
        }
    }

    /** The query classes have changed. */
    void restrictClassesBy(List<QueryClass> changed) {
        queries.values().forEach(query -> query.restrictClassBy(changed));
    }

    /** Takes out an open query whose deadline is past; null if there is none. */
    OpenQuery pollPastDeadline(double nowMs) {
        removeClosedDeadlines();
        return deadlines.isEmpty() || deadlines.peek().deadlineAtMs > nowMs
                ? null
                : deadlines.poll();
    }

    /** The next deadline of an open query; infinite if none is open. */
    double nextDeadlineAtMs() {
        removeClosedDeadlines();
        return deadlines.isEmpty() ? Double.POSITIVE_INFINITY : deadlines.peek().deadlineAtMs;
    }

    private void removeClosedDeadlines() {
        while (!deadlines.isEmpty() && deadlines.peek().isOver()) {
            deadlines.poll();
        }
    }

    /** The sizes of all collections together, for tests that look for leaks. */
    int trackedItems() {
        return queries.size() + parts.size() + openParts + deadlines.size();
    }
}
