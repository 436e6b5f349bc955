package sprucehold.coordinator;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableSet;
import java.util.TreeSet;
import sprucehold.decision.QueryClass;

/**
 * Index of the open queries by id and by deadline, and of their parts by id. A part of a closed
 * query stays in the index while it has a pending attempt.
 */
final class OpenQueries {
    private final Map<String, OpenQuery> queries = new HashMap<>();
    private final Map<String, OpenPart> parts = new HashMap<>();
    private final NavigableSet<OpenQuery> deadlines =
            new TreeSet<>(
                    Comparator.<OpenQuery>comparingDouble(query -> query.deadlineAtMs)
                            .thenComparing(query -> query.query.id()));

    private final SpentQueryIds spentIds = new SpentQueryIds();

    /** Number of parts of all open queries. */
    private int openParts;

    void add(OpenQuery query) {
        queries.put(query.query.id(), query);
        deadlines.add(query);
        openParts += query.parts.size();
        query.parts.forEach(part -> parts.put(part.id, part));
    }

    /** Returns the open query with this id, or null. */
    OpenQuery find(String queryId) {
        return queries.get(queryId);
    }

    /**
     * Returns the part with this id if its query is open or it has a pending attempt, otherwise
     * null.
     */
    OpenPart findPart(String partId) {
        return parts.get(partId);
    }

    /** Returns whether a query with the same id is open or has a pending attempt. */
    boolean isOpen(Query query) {
        return queries.containsKey(query.id())
                || query.parts().stream()
                        .anyMatch(part -> parts.containsKey(OpenPart.idOf(query, part.shard())));
    }

    /** Returns whether a closed query with the same id has a part that must not run again. */
    boolean isSpent(Query query) {
        return spentIds.contains(query.id());
    }

    int size() {
        return queries.size();
    }

    /** Returns the number of open queries plus the number of their parts. */
    int queriesAndParts() {
        return queries.size() + openParts;
    }

    /** Closes a query that got its final answer or whose client disconnected. */
    void close(OpenQuery query) {
        query.markClosed();
        queries.remove(query.query.id());
        deadlines.remove(query);
        openParts -= query.parts.size();
        query.parts.forEach(part -> part.value = null);
        query.parts.forEach(this::removeIfDone);
    }

    /** Removes a part if its query is closed and no attempt of the part is pending. */
    void removeIfDone(OpenPart part) {
        if (part.query.isClosed() && !part.hasPendingAttempt() && parts.remove(part.id, part)) {
            if (part.isSpent()) {
                spentIds.add(part.query.query.id());
            }
        }
    }

    /** Applies a change of the query classes to all open queries. */
    void restrictClassesBy(List<QueryClass> changedClasses) {
        queries.values().forEach(query -> query.restrictClassBy(changedClasses));
    }

    /** Returns an open query whose deadline has passed, or null if there is none. */
    OpenQuery firstPastDeadline(double nowMs) {
        return nextDeadlineAtMs() > nowMs ? null : deadlines.first();
    }

    /** Returns the next deadline of an open query; infinite if no query is open. */
    double nextDeadlineAtMs() {
        return deadlines.isEmpty() ? Double.POSITIVE_INFINITY : deadlines.first().deadlineAtMs;
    }

    /** Returns the sum of the sizes of all collections, for tests that look for leaks. */
    int trackedItems() {
        return queries.size() + parts.size() + openParts + deadlines.size();
    }
}
