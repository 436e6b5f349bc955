package sprucehold.standin.rules;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import sprucehold.decision.Deployment;
import sprucehold.standin.ledger.Seen;

/**
 * Checks {@link Rule#BUDGET}: in any window of a budget's length, the retries and hedged requests
 * of each gatherer, and of all gatherers together, stay within the budget.
 *
 * <p>Tolerance: {@link RuleSettings#transitMs()}, as two attempts that were sent one window apart
 * may arrive closer together, and as a query is received earlier than its retry arrives at the
 * shard server.
 */
final class RetryBudgetCheck implements RuleCheck {
    /** Rounding error that is tolerated in the floating-point sum of the budget. */
    private static final double ROUNDING = 1e-9;

    private final RuleSettings terms;
    private final Violations violations;
    private final Map<String, Window> windows = new HashMap<>();
    private final ArrayDeque<Double> fleetRetriesMs = new ArrayDeque<>();

    /**
     * Times within the window at which a gatherer's queries were sent to it and its retries arrived
     * at shard servers.
     */
    private static final class Window {
        final ArrayDeque<Double> queriesMs = new ArrayDeque<>();
        final ArrayDeque<Double> retriesMs = new ArrayDeque<>();
    }

    RetryBudgetCheck(RuleSettings terms, Violations violations) {
        this.terms = terms;
        this.violations = violations;
    }

    private Window windowOf(String gatherer) {
        return windows.computeIfAbsent(gatherer, name -> new Window());
    }

    @Override
    public void querySent(Seen.Asked asked) {
        windowOf(asked.gatherer()).queriesMs.add(asked.atMs());
    }

    @Override
    public void attemptArrived(QueryRecord query, Seen.Arrived arrived, List<Double> earlierMs) {
        if (!earlierMs.isEmpty()) {
            checkFleet(arrived.atMs());
            checkGatherer(arrived);
        }
    }

    private void checkFleet(double atMs) {
        RuleSettings.FleetRetryBudget budget = terms.fleetRetryBudget();
        if (budget == null) {
            return;
        }
        fleetRetriesMs.add(atMs);
        fleetRetriesMs.removeIf(retryMs -> retryMs <= atMs - budget.windowMs() + terms.transitMs());
        if (fleetRetriesMs.size() > budget.retries()) {
            violations.report(
                    Rule.BUDGET,
                    atMs,
                    "all gatherers together sent "
                            + fleetRetriesMs.size()
                            + " further dispatches in "
                            + budget.windowMs()
                            + " ms, "
                            + budget.retries()
                            + " are allowed");
        }
    }

    private void checkGatherer(Seen.Arrived arrived) {
        Deployment.RetryBudget budget = terms.retryBudget();
        if (budget.equals(Deployment.RetryBudget.NONE)) {
            return;
        }
        double atMs = arrived.atMs();
        Window window = windowOf(arrived.gatherer());
        window.retriesMs.add(atMs);
        window.queriesMs.removeIf(
                queryMs -> queryMs < atMs - budget.windowMs() - terms.transitMs());
        window.retriesMs.removeIf(retryMs -> retryMs < atMs - budget.windowMs());
        double allowed = budget.fixed() + budget.perRequest() * window.queriesMs.size();
        if (window.retriesMs.size() > allowed + ROUNDING) {
            violations.report(
                    Rule.BUDGET,
                    atMs,
                    arrived.gatherer()
                            + " sent "
                            + window.retriesMs.size()
                            + " further dispatches for "
                            + window.queriesMs.size()
                            + " scans");
        }
    }
}
