package sprucehold.policy;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import sprucehold.decision.QueryClass;

/** All open queries, and all parts that still have an attempt pending or may get one. */
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

    /** Forgets a part of no use any more once none of its attempts is pending. */
    void forgetIfDone(ScheduledPart part) {
        if (part.isObsolete() && !part.hasPendingAttempt()) {
            partsById.remove(part.id());
        }
    }

    /** Makes the query classes of all open queries as strict as changed ones are. */
    void restrict(List<QueryClass> changed) {
        queriesByNumber.values().forEach(query -> query.restrict(changed));
    }

    /** The query of this name, or null. */
    ScheduledQuery byId(String id) {
        return queriesById.get(id);
    }

    /** The query of this number, or null. */
    ScheduledQuery byNumber(long number) {
        return queriesByNumber.get(number);
    }

    /** The part of this name, or null. */
    ScheduledPart part(String id) {
        return partsById.get(id);
    }

    /** How many queries and parts are held. */
    int size() {
        return queriesByNumber.size() + partsById.size();
    }
}
