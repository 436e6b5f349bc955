package sprucehold.rig.fault;

import sprucehold.rig.script.Fault;

/**
 * What becomes of bytes on one directed link.
 *
 * @param delayMs how much later each message comes; one in twenty four times as much
 * @param bytesPerS at most so many, infinite for no bound
 * @param cutAfterBytes a connection ends after so many, infinite for never
 * @param cut null where it isn't cut
 * @param halfOpen connections come up and bring nothing, also after the mend
 * @param lose share of datagrams lost; {@code twice} and {@code reorder} likewise
 */
public record Treatment(
        double delayMs,
        double bytesPerS,
        double cutAfterBytes,
        Fault.Mode cut,
        boolean halfOpen,
        double lose,
        double twice,
        double reorder) {
    /** All passes at once. */
    public static final Treatment SOUND =
            new Treatment(
                    0, Double.POSITIVE_INFINITY, Double.POSITIVE_INFINITY, null, false, 0, 0, 0);

    /** Both this and a fault: delays add up, the tighter bound and the harder cut win. */
    Treatment and(Fault fault) {
        double amount = fault.amount();
        return switch (fault.kind()) {
            case DELAY ->
                    new Treatment(
                            delayMs + amount,
                            bytesPerS,
                            cutAfterBytes,
                            cut,
                            halfOpen,
                            lose,
                            twice,
                            reorder);
            case RATE ->
                    new Treatment(
                            delayMs,
                            Math.min(bytesPerS, amount),
                            cutAfterBytes,
                            cut,
                            halfOpen,
                            lose,
                            twice,
                            reorder);
            case CUT_AFTER ->
                    new Treatment(
                            delayMs,
                            bytesPerS,
                            Math.min(cutAfterBytes, amount),
                            cut,
                            halfOpen,
                            lose,
                            twice,
                            reorder);
            case CUT ->
                    new Treatment(
                            delayMs,
                            bytesPerS,
                            cutAfterBytes,
                            cut == null || fault.mode().compareTo(cut) > 0 ? fault.mode() : cut,
                            halfOpen,
                            lose,
                            twice,
                            reorder);
            case HALF_OPEN ->
                    new Treatment(
                            delayMs, bytesPerS, cutAfterBytes, cut, true, lose, twice, reorder);
            case LOSE ->
                    new Treatment(
                            delayMs,
                            bytesPerS,
                            cutAfterBytes,
                            cut,
                            halfOpen,
                            Math.max(lose, amount),
                            twice,
                            reorder);
            case DOUBLE ->
                    new Treatment(
                            delayMs,
                            bytesPerS,
                            cutAfterBytes,
                            cut,
                            halfOpen,
                            lose,
                            Math.max(twice, amount),
                            reorder);
            case REORDER ->
                    new Treatment(
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
