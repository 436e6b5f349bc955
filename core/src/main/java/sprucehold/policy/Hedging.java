package sprucehold.policy;

import java.util.List;
import sprucehold.decision.Reason;

/**
 * Sends hedged requests for late parts (Dean and Barroso, "The Tail at Scale", 2013). Each one is
 * sent as soon as a suitable server is available.
 */
final class Hedging {
    /**
     * Overload signal above which no hedged requests are sent, because they would only add load to
     * a fleet that is already at capacity.
     */
    private static final double MAX_OVERLOAD = 0.1;

    private final DecisionContext context;
    private final LateParts lateParts;
    private final HedgeBudget budget;
    private final AttemptRules rules;
    private final ReplicaSelector replicas;
    private final OverloadSignal overloadSignal;
    private final AttemptSender sender;

    Hedging(
            DecisionContext context,
            LateParts lateParts,
            HedgeBudget budget,
            AttemptRules rules,
            ReplicaSelector replicas,
            OverloadSignal overloadSignal,
            AttemptSender sender) {
        this.context = context;
        this.lateParts = lateParts;
        this.budget = budget;
        this.rules = rules;
        this.replicas = replicas;
        this.overloadSignal = overloadSignal;
        this.sender = sender;
    }

    void sendHedges() {
        lateParts.removeIf(this::hedgeOrDrop);
    }

    /**
     * Sends a hedged request for a late part if possible. Returns whether the part needs no hedged
     * request any more.
     */
    private boolean hedgeOrDrop(ScheduledPart part) {
        if (!part.hasPendingAttempt()
                || !rules.mayAttempt(part)
                || context.nowMs() >= part.query().objectiveAtMs()) {
            return true;
        }
        if (budget.isExhausted() || overloadSignal.value() > MAX_OVERLOAD) {
            return false;
        }
        ShardServerState server = replicas.selectLeastLoaded(part);
        // At a server with other pending attempts, a hedged request would make those attempts late.
        if (server == null || (!server.pendingAttempts().isEmpty() && !isOvertaken(part))) {
            return false;
        }
        budget.consume();
        sender.send(part, server, Reason.HEDGE);
        return true;
    }

    /**
     * Returns whether the server of the last attempt has answered attempts that were sent later.
     * The last attempt is then considered lost in transit.
     */
    private static boolean isOvertaken(ScheduledPart part) {
        List<PartAttempt> attempts = part.attempts();
        PartAttempt last = attempts.get(attempts.size() - 1);
        return last.isLate() && last.server().answeredAttemptSentAfter(last.sentAtMs());
    }
}
