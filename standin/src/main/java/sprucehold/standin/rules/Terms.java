package sprucehold.standin.rules;

import java.util.Map;
import sprucehold.decision.Deployment;
import sprucehold.decision.QueryClass;

/**
 * The figures that the rules are held by.
 *
 * @param slackMs how long after a client's time an answer still counts
 * @param graceMs how long after it was told of a drain a gatherer may send
 * @param fleet what all gatherers together may send further, or null where nothing is stated
 * @param wayMs how long what was written before an answer, a client's close or a drain may be on
 *     its way
 * @param toldMs how much more time than its client has left an attempt may tell its shard server
 */
public record Terms(
        Map<String, QueryClass> types,
        Deployment.RetryBudget budget,
        FleetBudget fleet,
        double slackMs,
        double graceMs,
        double wayMs,
        double toldMs) {

    /**
     * Dispatches beyond each part's first, by all gatherers in any window of so many milliseconds.
     */
    public record FleetBudget(int further, double windowMs) {}

    /** Where nothing is stated of the fleet. */
    public Terms(
            Map<String, QueryClass> types,
            Deployment.RetryBudget budget,
            double slackMs,
            double graceMs,
            double wayMs,
            double toldMs) {
        this(types, budget, null, slackMs, graceMs, wayMs, toldMs);
    }
}
