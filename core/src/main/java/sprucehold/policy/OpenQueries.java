package sprucehold.policy;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import sprucehold.decision.QueryClass;

/** All open queries with their parts, and obsolete parts that still have a pending attempt. */
final class OpenQueries {
    private final Map<String, ScheduledQuery> queriesById = new HashMap<>();
    private final Map<Long, ScheduledQuery> queriesByNumber = new LinkedHashMap<>();
    private final Map<String, ScheduledPart> partsById = new HashMap<>();

    void add(ScheduledQuery query) {
        queriesById.put(query.id(), query);
        queriesByNumber.put(query.number(), query);
    }

    void add(ScheduledPart part) {
        partsById.put(part.id(), part);
    }

    void remove(ScheduledQuery query) {
        queriesById.remove(query.id());
        queriesByNumber.remove(query.number());
    }

    /** Removes an obsolete part once none of its attempts is pending. */
    void removeIfDone(ScheduledPart part) {
        if (part.isObsolete() && !part.hasPendingAttempt()) {
            partsById.remove(part.id());
        }
    }

    /**
     * Applies changed query classes to all open queries, but only where this makes them stricter.
     */
    void restrictClasses(List<QueryClass> changed) {
        queriesByNumber.values().forEach(query -> query.restrictClass(changed));
    }

    /** Returns the query with this id, or null. */
    ScheduledQuery byId(String id) {
        return queriesById.get(id);
    }

    /** Returns the query with this number, or null. */
    ScheduledQuery byNumber(long number) {
        return queriesByNumber.get(number);
    }

    /** Returns the part with this id, or null. */
    ScheduledPart part(String id) {
        return partsById.get(id);
    }

    /** Returns the number of open queries plus the number of stored parts. */
    int size() {
        return queriesByNumber.size() + partsById.size();
    }
}
