package sprucehold.node;

import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.Map;
import sprucehold.change.document.ConfigurationDocument;
import sprucehold.change.document.ConfigurationDocument.QueryClassSettings;
import sprucehold.change.watch.TimeWindow;
import sprucehold.coordinator.Answer;
import sprucehold.coordinator.Query;
import sprucehold.decision.Tenant;

/**
 * Records for the health watch which queries are open and which were completed within the latency
 * objective.
 */
final class QueryHealthRecorder {
    private final IdentityHashMap<Query, OpenQuery> openQueries = new IdentityHashMap<>();
    private final TimeWindow.Builder window = new TimeWindow.Builder();

    /**
     * An open query.
     *
     * @param receivedMs the time of its receipt, in milliseconds
     * @param settings the settings of its query class at that time
     * @param tenant the tenant's name, or null if it has no quota
     */
    private record OpenQuery(double receivedMs, QueryClassSettings settings, String tenant) {
        boolean isWithinObjective(double nowMs) {
            return nowMs - receivedMs <= settings.queryClass().latencyObjectiveMs();
        }
    }

    /** Records the receipt of a query, unless its class isn't served. */
    void received(double nowMs, Query query, ConfigurationDocument live) {
        live.queryClass(query.queryClass())
                .ifPresent(
                        settings ->
                                openQueries.put(
                                        query,
                                        new OpenQuery(nowMs, settings, tenantOf(query, live))));
    }

    private static String tenantOf(Query query, ConfigurationDocument live) {
        return live.tenant(query.tenant()).map(Tenant::name).orElse(null);
    }

    void answered(double nowMs, Query query, Answer answer) {
        OpenQuery open = openQueries.remove(query);
        if (open != null) {
            record(open, answer instanceof Answer.Completed && open.isWithinObjective(nowMs));
        }
    }

    /**
     * Records the disconnection of a query's client. Within the latency objective it is no evidence
     * of bad service and is ignored. Later the query counts as not completed in time.
     */
    void disconnected(double nowMs, Query query) {
        OpenQuery open = openQueries.remove(query);
        if (open != null && !open.isWithinObjective(nowMs)) {
            record(open, false);
        }
    }

    private void record(OpenQuery open, boolean withinObjective) {
        window.add(
                open.settings.name(),
                open.tenant,
                open.settings.queryClass().priorityWeight(),
                withinObjective);
    }

    /** Ends the time window, returns it and begins the next one. */
    TimeWindow endWindow(double nowMs) {
        return window.endWindow(nowMs);
    }

    Map<String, Integer> openQueriesByClass() {
        Map<String, Integer> counts = new HashMap<>();
        for (OpenQuery open : openQueries.values()) {
            counts.merge(open.settings.name(), 1, Integer::sum);
        }
        return counts;
    }

    Map<String, Integer> openQueriesByTenant() {
        Map<String, Integer> counts = new HashMap<>();
        for (OpenQuery open : openQueries.values()) {
            if (open.tenant != null) {
                counts.merge(open.tenant, 1, Integer::sum);
            }
        }
        return counts;
    }
}
