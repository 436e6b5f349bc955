package sprucehold.decision;

import java.util.List;

/**
 * The decisions of one gatherer as a deterministic state machine: the same calls bring the same
 * commands. Instances share nothing and are not safe for use by several threads.
 */
public interface DecisionPolicy {
    /**
     * Takes all that happened at one moment, in the order it happened, and returns what is to be
     * done at that moment, in order.
     *
     * @param nowMs the clock, in milliseconds; it begins at no particular value and never goes back
     */
    List<Command> decide(double nowMs, List<Event> events);

    /** Makes the policy of a gatherer that holds nothing yet. */
    interface Factory {
        /**
         * Makes a policy.
         *
         * @param seed of all its random choices
         */
        DecisionPolicy start(long seed, Deployment deployment);
    }
}
