package sprucehold.trace.event;

/**
 * Consecutive policy calls that were not recorded because the writer had fallen behind or the file
 * could not be written.
 *
 * @param seq the number of the first lost call
 * @param calls the number of lost calls
 * @param nowMs the time of the first lost call
 * @param toMs the time of the last lost call
 */
public record Gap(int source, long seq, double nowMs, long calls, double toMs) implements Entry {
    @Override
    public Gap withSource(int newSource) {
        return new Gap(newSource, seq, nowMs, calls, toMs);
    }
}
