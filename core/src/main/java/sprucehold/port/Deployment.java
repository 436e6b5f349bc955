package sprucehold.port;

import java.util.List;

/**
 * The facts of a deployment that bear on decisions.
 *
 * @param gatherers how many gatherers there are
 * @param zone the zone of this gatherer
 * @param tickMs the shortest time between two moments
 * @param overShareBenefit what a scan past its customer's share earns, as a portion of the usual
 */
public record Deployment(
        int gatherers,
        String zone,
        double tickMs,
        double overShareBenefit,
        List<TableType> tableTypes,
        List<Customer> customers,
        Layout layout,
        Limits limits,
        ColdRule coldRule,
        DispatchBudget dispatchBudget,
        ListAccess listAccess) {

    /**
     * Which cells hold a segment: {@code reach} in a row, the first being the segment modulo {@code
     * cells}.
     *
     * @param callParts the most parts that share one call
     */
    public record Layout(int cells, int reach, int callParts) {}

    /** What a gatherer may do. */
    public record Limits(
            int dispatchesPerPart,
            int maxOpen,
            boolean secondCopies,
            boolean cancel,
            double maxComeBackMs) {}

    /**
     * A cold server falls over when sent {@code multiple} times what it can do for {@code
     * windowMs}.
     */
    public record ColdRule(
            double startShare, double warmAfterMs, double multiple, double windowMs) {}

    /** The most dispatches beyond each part's first, in any window. */
    public record DispatchBudget(double free, double perTaken, double windowMs) {
        /** Where no budget is stated. */
        public static final DispatchBudget NONE =
                new DispatchBudget(Double.POSITIVE_INFINITY, 0, 0);
    }

    /** Whether the list must be asked for, and how often at least while it isn't followed. */
    public record ListAccess(boolean mustAsk, double askWithinMs) {}
}
