package sprucehold.policy;

import sprucehold.decision.Event;
import sprucehold.decision.Reason;

/** Opens queries and their parts as they are received. */
final class QueryIntake {
    /**
     * Margin, in ticks, by which a query ends before its client's deadline: one tick for a late
     * wake-up, one for the network delay, and one in reserve.
     */
    private static final double DEADLINE_MARGIN_TICKS = 3;

    private final DecisionContext context;
    private final Timers timers;
    private final OpenQueries openQueries;
    private final RetryBudgetWindow retryBudget;
    private final AdmissionQueue admissionQueue;
    private final Completion completion;

    QueryIntake(
            DecisionContext context,
            Timers timers,
            OpenQueries openQueries,
            RetryBudgetWindow retryBudget,
            AdmissionQueue admissionQueue,
            Completion completion) {
        this.context = context;
        this.timers = timers;
        this.openQueries = openQueries;
        this.retryBudget = retryBudget;
        this.admissionQueue = admissionQueue;
        this.completion = completion;
    }

    void receive(Event.QueryReceived received) {
        double nowMs = context.nowMs();
        double marginMs = DEADLINE_MARGIN_TICKS * context.deployment().tickMs();
        double endsAtMs = nowMs + Math.max(0, received.timeLeftMs() - marginMs);
        var query = new ScheduledQuery(received, nowMs, endsAtMs);
        openQueries.add(query);
        timers.schedule(endsAtMs, () -> completion.end(query, Reason.DEADLINE));
        // An incomplete answer in time is worth more than a complete one that is late.
        timers.schedule(
                Math.min(endsAtMs, query.objectiveAtMs() - marginMs),
                () -> completion.endAtObjective(query));
        retryBudget.onRequest();
    }

    void receive(Event.PartReceived received) {
        retryBudget.onRequest();
        ScheduledQuery query = openQueries.byNumber(received.queryNumber());
        if (query == null) {
            // The query has already ended, for example because the parts of its second step arrived
            // after the deadline.
            return;
        }
        var part = new ScheduledPart(received, query);
        query.add(part);
        openQueries.add(part);
        admissionQueue.add(query);
    }
}
