package sprucehold.port;

/**
 * A kind of scan.
 *
 * @param targetMs an answer inside this time earns the full benefit
 * @param lateShare the share of the benefit that a later answer earns
 * @param keyedWindowMs for keyed ones: how long after a part's first dispatch repeats are dropped
 * @param completeFrom the share of the weight that makes an answer whole
 * @param leastShare the share of the weight below which no answer may be given
 * @param secondStepParts parts that the first answer brings, 0 where there is one step
 */
public record TableType(String name, Repeat repeat, double targetMs, double benefit, double lateShare,
        double keyedWindowMs, double completeFrom, double leastShare, int secondStepParts) {

    /** Whether a part may run again. */
    public enum Repeat { REPLAYABLE, KEYED, NON_REPLAYABLE }
}
