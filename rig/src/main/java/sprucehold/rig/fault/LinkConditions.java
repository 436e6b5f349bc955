package sprucehold.rig.fault;

import sprucehold.rig.script.Fault;

/**
 * How the bytes on one directed link are delayed, limited, cut or lost.
 *
 * @param delayMs delay of each message, in milliseconds; one message in twenty is delayed four
 *     times as long
 * @param bytesPerS the highest rate, in bytes per second; infinite for no limit
 * @param cutAfterBytes number of bytes after which a connection is cut; infinite for never
 * @param cut how the link is cut, or null if it isn't
 * @param halfOpen whether connections opened now are accepted but never deliver anything, even
 *     after the fault has ended
 * @param lose share of datagrams that are lost
 * @param twice share of datagrams that are delivered twice
 * @param reorder share of datagrams that are delivered after the next one
 */
public record LinkConditions(
        double delayMs,
        double bytesPerS,
        double cutAfterBytes,
        Fault.Mode cut,
        boolean halfOpen,
        double lose,
        double twice,
        double reorder) {
    /** A link without faults: all bytes pass without delay. */
    public static final LinkConditions NO_FAULTS =
            new LinkConditions(
                    0, Double.POSITIVE_INFINITY, Double.POSITIVE_INFINITY, null, false, 0, 0, 0);

    /**
     * Returns these conditions combined with one more fault. Delays add up; of two limits the
     * tighter applies, of two cuts the more severe mode, of two shares the larger.
     */
    LinkConditions and(Fault fault) {
        double amount = fault.amount();
        return switch (fault.kind()) {
            case DELAY ->
                    new LinkConditions(
                            delayMs + amount,
                            bytesPerS,
                            cutAfterBytes,
                            cut,
                            halfOpen,
                            lose,
                            twice,
                            reorder);
            case RATE ->
                    new LinkConditions(
                            delayMs,
                            Math.min(bytesPerS, amount),
                            cutAfterBytes,
                            cut,
                            halfOpen,
                            lose,
                            twice,
                            reorder);
            case CUT_AFTER ->
                    new LinkConditions(
                            delayMs,
                            bytesPerS,
                            Math.min(cutAfterBytes, amount),
                            cut,
                            halfOpen,
                            lose,
                            twice,
                            reorder);
            case CUT ->
                    new LinkConditions(
                            delayMs,
                            bytesPerS,
                            cutAfterBytes,
                            cut == null || fault.mode().compareTo(cut) > 0 ? fault.mode() : cut,
                            halfOpen,
                            lose,
                            twice,
                            reorder);
            case HALF_OPEN ->
                    new LinkConditions(
                            delayMs, bytesPerS, cutAfterBytes, cut, true, lose, twice, reorder);
            case LOSE ->
                    new LinkConditions(
                            delayMs,
                            bytesPerS,
                            cutAfterBytes,
                            cut,
                            halfOpen,
                            Math.max(lose, amount),
                            twice,
                            reorder);
            case DOUBLE ->
                    new LinkConditions(
                            delayMs,
                            bytesPerS,
                            cutAfterBytes,
                            cut,
                            halfOpen,
                            lose,
                            Math.max(twice, amount),
                            reorder);
            case REORDER ->
                    new LinkConditions(
                            delayMs,
                            bytesPerS,
                            cutAfterBytes,
                            cut,
                            halfOpen,
                            lose,
                            twice,
                            Math.max(reorder, amount));
            default -> this;
        };
    }
}
