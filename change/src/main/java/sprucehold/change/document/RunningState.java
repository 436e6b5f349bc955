package sprucehold.change.document;

import java.util.Map;
import java.util.Set;

/**
 * State of the gatherer at the moment a document is validated.
 *
 * @param openQueriesByClass number of open queries, by query class
 * @param openQueriesByTenant number of open queries, by tenant
 * @param openItems number of open queries and parts
 * @param replicasByShard names of the running servers of each shard, as discovery lists them
 */
public record RunningState(
        Map<String, Integer> openQueriesByClass,
        Map<String, Integer> openQueriesByTenant,
        int openItems,
        Map<Integer, Set<String>> replicasByShard) {
    /** State without open queries and running servers, as before startup. */
    public static final RunningState IDLE = new RunningState(Map.of(), Map.of(), 0, Map.of());
}
