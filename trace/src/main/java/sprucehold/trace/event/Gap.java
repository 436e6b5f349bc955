package sprucehold.trace.event;

/**
 * Calls of the policy that were not recorded because the writer had fallen behind.
 *
 * @param calls how many
 * @param nowMs when the first of them was
 * @param toMs when the last of them was
 */
public record Gap(int source, long seq, double nowMs, long calls, double toMs) implements Entry {
    @Override
    public Gap withSource(int other) {
        return new Gap(other, seq, nowMs, calls, toMs);
    }
}
