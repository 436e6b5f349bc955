package sprucehold.decision;

import java.util.List;

/**
 * Decision policy of one gatherer as a deterministic state machine: the same calls return the same
 * commands. Instances share no state and are not thread-safe.
 */
public interface DecisionPolicy {
    /**
     * Processes the events of one point in time, in the order in which they happened, and returns
     * the commands to execute at that time, in order.
     *
     * @param nowMs current time in milliseconds on a monotonic clock with an arbitrary origin
     */
    List<Command> decide(double nowMs, List<Event> events);

    /** Creates policies of gatherers that have no queries or endpoints yet. */
    interface Factory {
        /**
         * Creates a policy.
         *
         * @param seed seed of all random choices of the policy
         */
        DecisionPolicy create(long seed, Deployment deployment);
    }
}
