package sprucehold.standin.rules;

import java.util.Map;
import sprucehold.decision.Deployment;
import sprucehold.decision.QueryClass;

/**
 * The figures that the rules are checked by. Times are in milliseconds.
 *
 * @param queryClasses the query classes, by name
 * @param retryBudget the retry budget of each gatherer, {@link Deployment.RetryBudget#NONE} if none
 *     is stated
 * @param fleetRetryBudget the retry budget of all gatherers, or null if none is stated
 * @param answerSlackMs how long after a query's deadline an answer still counts as in time
 * @param drainGraceMs how long after it was told of a drain a gatherer may still send
 * @param transitMs how long a message may be under way that was written before an answer, a
 *     client's close or a drain
 * @param timeoutSlackMs by how much the time that an attempt tells its shard server may exceed what
 *     the query's client has left
 */
public record RuleTerms(
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
     * @param retries attempts beyond each part's first
     * @param windowMs in any window of so many milliseconds
     */
    public record FleetRetryBudget(int retries, double windowMs) {}

    /** Terms without a retry budget of the fleet. */
    public RuleTerms(
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
