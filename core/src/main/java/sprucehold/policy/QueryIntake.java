package sprucehold.policy;

import sprucehold.decision.Event;
import sprucehold.decision.Reason;

/** Opens queries and their parts as they are received. */
final class QueryIntake {
    /**
     * A query ends ahead of its client's deadline: for a late wake-up, the way, and one to spare.
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
        timers.at(endsAtMs, () -> completion.end(query, Reason.DEADLINE));
        // An incomplete answer in time is worth more than a complete one that is late.
        timers.at(
                Math.min(endsAtMs, query.objectiveAtMs() - marginMs),
                () -> completion.endAtObjective(query));
        retryBudget.onRequest();
    }

    void receive(Event.PartReceived received) {
        retryBudget.onRequest();
        ScheduledQuery query = openQueries.byNumber(received.queryNumber());
        if (query == null) {
            // It has ended, as when a second step's parts come after the deadline.
            return;
        }
        var part = new ScheduledPart(received, query);
        query.add(part);
        openQueries.add(part);
        admissionQueue.add(query);
    }
}
