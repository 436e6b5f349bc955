package sprucehold.policy;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.Iterator;
import java.util.List;
import sprucehold.decision.Reason;

/**
 * Queue of queries, and of second steps of queries, that wait to start. The queue is in descending
 * order of priority.
 */
final class AdmissionQueue {
    /**
     * Portion of the available time that a query may wait for admission. The rest leaves half of
     * the time for a round and some time for a retry.
     */
    private static final double MAX_WAIT_PORTION = 0.25;

    /**
     * Maximum number of unsuccessful admission checks per call. It keeps the cost of checking the
     * waiting queries below the cost of serving queries.
     */
    private static final int MAX_FAILED_CHECKS = 2;

    /**
     * Portion of the maximum number of open queries and parts above which the waiting queries of
     * lowest priority are rejected.
     */
    private static final double MAX_OPEN_PORTION = 0.9;

    private final DecisionContext context;
    private final OpenQueries openQueries;
    private final Admission admission;
    private final Rounds rounds;
    private final Completion completion;
    private final List<ScheduledQuery> waiting = new ArrayList<>();
    private double lastFullPassAtMs;

    AdmissionQueue(
            DecisionContext context,
            OpenQueries openQueries,
            Admission admission,
            Rounds rounds,
            Completion completion) {
        this.context = context;
        this.openQueries = openQueries;
        this.admission = admission;
        this.rounds = rounds;
        this.completion = completion;
    }

    void add(ScheduledQuery query) {
        if (!waiting.contains(query)) {
            waiting.add(query);
        }
    }

    boolean isEmpty() {
        return waiting.isEmpty();
    }

    /**
     * Starts the waiting queries that can be admitted and rejects those that have waited too long.
     * Evicts waiting queries if too many queries and parts are open.
     */
    void beginWaiting() {
        double overQuotaPriority = context.deployment().overQuotaPriority();
        waiting.sort(
                Comparator.comparingDouble(query -> -query.priorityPerPart(overQuotaPriority)));
        double nowMs = context.nowMs();
        boolean fullPass = nowMs >= lastFullPassAtMs + context.deployment().tickMs();
        if (fullPass) {
            lastFullPassAtMs = nowMs;
        }
        int failedChecks = 0;
        for (Iterator<ScheduledQuery> queries = waiting.iterator(); queries.hasNext(); ) {
            ScheduledQuery query = queries.next();
            boolean mayWait = query.isSecondStep() || nowMs < latestBeginMs(query);
            boolean needsCheck = fullPass || !query.isAdmissionTried() || query.isSecondStep();
            boolean checkNow =
                    !query.isOver() && mayWait && failedChecks < MAX_FAILED_CHECKS && needsCheck;
            if (checkNow && !begin(query)) {
                failedChecks++;
            } else if (!query.isOver() && !mayWait) {
                completion.reject(
                        query, query.isOverQuota() ? Reason.OVER_QUOTA : Reason.NO_CAPACITY);
            }
            if (query.isOver() || query.isAdmitted() || query.isSecondStep()) {
                queries.remove();
            }
        }
        evictLowestPriorities();
    }

    private static double latestBeginMs(ScheduledQuery query) {
        double availableMs =
                Math.min(
                        query.queryClass().latencyObjectiveMs(),
                        query.endsAtMs() - query.receivedAtMs());
        return query.receivedAtMs() + availableMs * MAX_WAIT_PORTION;
    }

    /** Starts or rejects a query. Returns false if the query has to wait. */
    private boolean begin(ScheduledQuery query) {
        if (!query.isSecondStep() && !query.isAdmitted()) {
            switch (admission.decide(query)) {
                case WAIT -> {
                    return false;
                }
                case REJECT_OVERLOAD -> {
                    completion.reject(query, Reason.OVERLOAD);
                    return true;
                }
                case REJECT_DEADLINE_TOO_SHORT -> {
                    completion.reject(query, Reason.DEADLINE_TOO_SHORT);
                    return true;
                }
                case ADMIT -> query.markAdmitted();
            }
        }
        rounds.begin(query);
        return true;
    }

    /**
     * Rejects waiting queries of lowest priority before the maximum number of open queries and
     * parts is reached. At the maximum the next query would be lost, whatever its priority.
     */
    private void evictLowestPriorities() {
        int open = waiting.isEmpty() ? 0 : openQueries.size();
        int maxOpen = context.deployment().limits().maxOpen();
        while (!waiting.isEmpty() && open > MAX_OPEN_PORTION * maxOpen) {
            ScheduledQuery lowest = waiting.remove(waiting.size() - 1);
            open -= 1 + lowest.parts().size();
            completion.reject(lowest, Reason.LOWEST_PRIORITY);
        }
    }
}
