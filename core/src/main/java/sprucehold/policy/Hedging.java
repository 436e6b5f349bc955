package sprucehold.policy;

import java.util.List;
import sprucehold.decision.Reason;

/**
 * Sends hedged requests for late parts (Dean and Barroso, "The Tail at Scale", 2013), each as soon
 * as there is a server for it.
 */
final class Hedging {
    /** Above it hedged requests would only add to a full fleet's load. */
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

    /** Returns whether the part needs no hedged request any more. */
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
        // At a server with other attempts pending a hedged request makes those late in turn.
        if (server == null || (!server.pendingAttempts().isEmpty() && !isOvertaken(part))) {
            return false;
        }
        budget.consume();
        sender.send(part, server, Reason.HEDGE);
        return true;
    }

    /** Whether its server has answered attempts that were sent later: it is lost on the way. */
    private static boolean isOvertaken(ScheduledPart part) {
        List<PartAttempt> attempts = part.attempts();
        PartAttempt last = attempts.get(attempts.size() - 1);
        return last.isLate() && last.server().answeredAttemptSentAfter(last.sentAtMs());
    }
}
