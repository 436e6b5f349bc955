package sprucehold.policy;

import java.util.ArrayDeque;
import sprucehold.decision.Deployment;
import sprucehold.decision.SharedLimit;

/**
 * The deployment's retry budget: retries and hedged requests in a sliding window, as against the
 * queries and parts received in it.
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

    /** Counts a query or part received. */
    void onRequest() {
        requestsAtMs.add(context.nowMs());
    }

    /** Counts an attempt beyond a part's first. */
    void onRetry() {
        retriesAtMs.add(context.nowMs());
        allowances.consume(SharedLimit.RETRIES, 1);
    }

    /** Forgets requests that have left the window. */
    void expireRequests() {
        double oldestMs = context.nowMs() - context.deployment().retryBudget().windowMs();
        while (!requestsAtMs.isEmpty() && requestsAtMs.peek() <= oldestMs) {
            requestsAtMs.poll();
        }
    }

    boolean allowsRetry() {
        Deployment.RetryBudget budget = context.deployment().retryBudget();
        // A tick longer than the window: calls, which date the attempts, are a tick apart.
        double oldestMs = context.nowMs() - budget.windowMs() - context.deployment().tickMs();
        retriesAtMs.removeIf(timeMs -> timeMs < oldestMs);
        return retriesAtMs.size() + 1 <= budget.fixed() + budget.perRequest() * requestsAtMs.size()
                && allowances.allowRetry();
    }
}
