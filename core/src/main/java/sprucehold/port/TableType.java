package sprucehold.port;

import java.util.List;

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
public record TableType(
        String name,
        Repeat repeat,
        double targetMs,
        double benefit,
        double lateShare,
        double keyedWindowMs,
        double completeFrom,
        double leastShare,
        int secondStepParts) {

    /** Whether a part may run again, the freest first. */
    public enum Repeat {
        REPLAYABLE,
        KEYED,
        NON_REPLAYABLE
    }

    /**
     * This type for a scan taken under it, after the types have changed: all stays as it was but
     * that its parts may run again no more often than either allows. So a type that turns
     * replayable frees no part that is out, one that turns non-replayable binds at once, and a
     * keyed window never grows over a dispatch already made.
     */
    public TableType boundBy(List<TableType> types) {
        for (TableType now : types) {
            if (now.name.equals(name) && !now.equals(this)) {
                Repeat stricter = now.repeat.compareTo(repeat) > 0 ? now.repeat : repeat;
                double window =
                        now.repeat != Repeat.KEYED
                                ? keyedWindowMs
                                : repeat != Repeat.KEYED
                                        ? now.keyedWindowMs
                                        : Math.min(keyedWindowMs, now.keyedWindowMs);
                return new TableType(
                        name,
                        stricter,
                        targetMs,
                        benefit,
                        lateShare,
                        window,
                        completeFrom,
                        leastShare,
                        secondStepParts);
            }
        }
        return this;
    }
}
