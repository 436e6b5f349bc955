package sprucehold.trace.event;

/**
 * Relation of a source's clock to the reference clock, by which the entries of a file are ordered.
 *
 * @param atMs the time by the source's clock at which the offset applies, in milliseconds
 * @param offsetMs how far the source's clock is ahead of the reference clock, in milliseconds
 * @param driftPpm how much faster the source's clock runs, in parts per million
 * @param errorMs the error bound of the offset, in milliseconds; infinite if it is unknown
 */
public record ClockFit(double atMs, double offsetMs, double driftPpm, double errorMs) {
    /** The fit of the reference clock itself. */
    public static final ClockFit REFERENCE = new ClockFit(0, 0, 0, 0);

    /** The fit of a clock whose relation to the reference clock is unknown. */
    public static final ClockFit UNKNOWN = new ClockFit(0, 0, 0, Double.POSITIVE_INFINITY);

    /** Converts a time of the source's clock into the time of the reference clock. */
    public double corrected(double sourceMs) {
        return sourceMs - offsetMs - driftPpm * 1e-6 * (sourceMs - atMs);
    }
}
