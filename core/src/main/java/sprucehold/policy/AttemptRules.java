package sprucehold.policy;

import sprucehold.decision.Deployment;
import sprucehold.decision.QueryClass;

/**
 * Decides whether a part may get another attempt, by its query class, the limits and the retry
 * budget.
 */
final class AttemptRules {
    /**
     * Margin at the end of the deduplication window, in ticks. No retry is sent within this margin,
     * because a repeated attempt must not arrive after the window.
     */
    private static final double DEDUPLICATION_MARGIN_TICKS = 2;

    private final DecisionContext context;
    private final RetryBudgetWindow retryBudget;

    AttemptRules(DecisionContext context, RetryBudgetWindow retryBudget) {
        this.context = context;
        this.retryBudget = retryBudget;
    }

    boolean mayAttempt(ScheduledPart part) {
        Deployment.Limits limits = context.deployment().limits();
        boolean attemptsLeft = part.attempts().size() < limits.attemptsPerPart();
        if (part.isObsolete() || part.isCompleted() || !attemptsLeft) {
            return false;
        }
        return part.attempts().isEmpty() || mayRetry(part, limits);
    }

    private boolean mayRetry(ScheduledPart part, Deployment.Limits limits) {
        boolean pending = part.hasPendingAttempt();
        if (pending && !limits.hedging()) {
            return false;
        }
        if (isBlockedByReset(part)) {
            return false;
        }
        if ((part.mayHaveRun() || pending) && !mayRunAgain(part)) {
            return false;
        }
        return retryBudget.allowsRetry();
    }

    /** Returns whether the query class allows a part that may have run to run again. */
    private boolean mayRunAgain(ScheduledPart part) {
        QueryClass queryClass = part.query().queryClass();
        return switch (queryClass.idempotence()) {
            case IDEMPOTENT -> true;
            case NON_IDEMPOTENT -> false;
            case DEDUPLICATED ->
                    context.nowMs()
                            <= part.attempts().get(0).sentAtMs()
                                    + queryClass.deduplicationWindowMs()
                                    - DEDUPLICATION_MARGIN_TICKS * context.deployment().tickMs();
        };
    }

    /**
     * Returns whether a part whose connection was reset has to wait until another part of its query
     * is completed. Otherwise, a query that crashes servers would crash one replica after the
     * other. A harmless query only has to wait for its fastest part.
     */
    boolean isBlockedByReset(ScheduledPart part) {
        return part.hadConnectionReset() && part.query().completedParts() == 0;
    }
}
