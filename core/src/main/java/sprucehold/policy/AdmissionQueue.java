package sprucehold.policy;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.Iterator;
import java.util.List;
import sprucehold.decision.Reason;

/** Queries, and second steps of queries, that wait to begin, those of highest priority first. */
final class AdmissionQueue {
    /** Leaves half the time for a round and some for a retry. */
    private static final double MAX_WAIT_PORTION = 0.25;

    /** Queries tried in vain in one call; more would cost more than serving. */
    private static final int MAX_TRIED_IN_VAIN = 2;

    /** The portion of the most that may be open at which the lowest priorities give way. */
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
     * Begins the queries that can, rejects those that have waited too long, and evicts if too many
     * are open.
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
        int triedInVain = 0;
        for (Iterator<ScheduledQuery> queries = waiting.iterator(); queries.hasNext(); ) {
            ScheduledQuery query = queries.next();
            boolean mayWait = query.isSecondStep() || nowMs < latestBeginMs(query);
            boolean due = fullPass || !query.isAdmissionTried() || query.isSecondStep();
            boolean tried = !query.isOver() && mayWait && triedInVain < MAX_TRIED_IN_VAIN && due;
            if (tried && !begin(query)) {
                triedInVain++;
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

    /** Begins or rejects a query; false if it has to wait. */
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

    /** At the most that may be open the next query is lost, whatever its priority. */
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
