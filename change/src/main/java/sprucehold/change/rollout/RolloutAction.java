package sprucehold.change.rollout;

/** Action that a rollout requests. Actions are carried out in order. */
public sealed interface RolloutAction {
    /**
     * Save the state before the next action is carried out.
     *
     * @param state the state
     */
    record SaveState(RolloutState state) implements RolloutAction {}

    /**
     * Propose the change to a gatherer, or propose it again by the same id.
     *
     * @param gatherer its address
     * @param id the rollout's id
     */
    record Propose(String gatherer, String id) implements RolloutAction {}

    /**
     * Ask a gatherer for the state of the change.
     *
     * @param gatherer its address
     * @param id the rollout's id
     */
    record QueryStatus(String gatherer, String id) implements RolloutAction {}

    /**
     * Ask a gatherer to revert to the version that it served before the rollout.
     *
     * @param gatherer its address
     * @param id the rollout's id
     */
    record Revert(String gatherer, String id) implements RolloutAction {}

    /**
     * Report a line to the operator.
     *
     * @param message the line
     */
    record Report(String message) implements RolloutAction {}
}
