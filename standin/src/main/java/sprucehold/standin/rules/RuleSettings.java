package sprucehold.standin.rules;

import java.util.Map;
import sprucehold.decision.Deployment;
import sprucehold.decision.QueryClass;

/**
 * Settings and tolerances with which the rules are checked. Times are in milliseconds.
 *
 * @param queryClasses the query classes, by name
 * @param retryBudget the retry budget of each gatherer, {@link Deployment.RetryBudget#NONE} if none
 *     is stated
 * @param fleetRetryBudget the retry budget of all gatherers, or null if none is stated
 * @param answerSlackMs time after a query's deadline within which an answer still counts as in time
 * @param drainGraceMs time after discovery reported a drain to a gatherer within which the gatherer
 *     may still send attempts to the server
 * @param transitMs longest time that a message is in transit; a message that was written before an
 *     answer, a client's disconnect or a drain may arrive that much later
 * @param timeoutSlackMs amount by which the timeout in an attempt's frame may exceed the time that
 *     the query's client still waits
 */
public record RuleSettings(
        Map<String, QueryClass> queryClasses,
        Deployment.RetryBudget retryBudget,
        FleetRetryBudget fleetRetryBudget,
        double answerSlackMs,
        double drainGraceMs,
        double transitMs,
        double timeoutSlackMs) {

    /**
     * A retry budget of all gatherers together.
     *
     * @param retries number of allowed attempts beyond the first attempt of each part
     * @param windowMs length of the sliding window to which the number applies, in milliseconds
     */
    public record FleetRetryBudget(int retries, double windowMs) {}

    /** Creates terms without a retry budget of all gatherers. */
    public RuleSettings(
            Map<String, QueryClass> queryClasses,
            Deployment.RetryBudget retryBudget,
            double answerSlackMs,
            double drainGraceMs,
            double transitMs,
            double timeoutSlackMs) {
        this(
                queryClasses,
                retryBudget,
                null,
                answerSlackMs,
                drainGraceMs,
                transitMs,
                timeoutSlackMs);
    }
}
