package sprucehold.policy;

import java.util.ArrayDeque;
import sprucehold.decision.Deployment;
import sprucehold.decision.SharedLimit;

/**
 * Retry budget of the deployment: limits the retries and hedged requests in a sliding window, by
 * the number of queries and parts received in the window.
 */
final class RetryBudgetWindow {
    private final DecisionContext context;
    private final SharedAllowances allowances;
    private final ArrayDeque<Double> requestsAtMs = new ArrayDeque<>();
    private final ArrayDeque<Double> retriesAtMs = new ArrayDeque<>();

    RetryBudgetWindow(DecisionContext context, SharedAllowances allowances) {
        this.context = context;
        this.allowances = allowances;
    }

    /** Counts a received query or part. */
    void onRequest() {
        requestsAtMs.add(context.nowMs());
    }

    /** Counts an attempt beyond the first one of a part. */
    void onRetry() {
        retriesAtMs.add(context.nowMs());
        allowances.consume(SharedLimit.RETRIES, 1);
    }

    /** Removes requests that have left the window. */
    void expireRequests() {
        double oldestMs = context.nowMs() - context.deployment().retryBudget().windowMs();
        while (!requestsAtMs.isEmpty() && requestsAtMs.peek() <= oldestMs) {
            requestsAtMs.poll();
        }
    }

    boolean allowsRetry() {
        Deployment.RetryBudget budget = context.deployment().retryBudget();
        // Retries are counted for one tick longer than the window, because a retry has the time of
        // the call that sends it, and calls are one tick apart.
        double oldestMs = context.nowMs() - budget.windowMs() - context.deployment().tickMs();
        retriesAtMs.removeIf(timeMs -> timeMs < oldestMs);
        return retriesAtMs.size() + 1 <= budget.fixed() + budget.perRequest() * requestsAtMs.size()
                && allowances.allowsRetry();
    }
}
