package sprucehold.trace.event;

/**
 * How a source's clock stands to the one that the file's order goes by.
 *
 * @param atMs the time of the source's clock at which the offset holds
 * @param offsetMs how far its clock is ahead
 * @param driftPpm how much faster it runs, in millionths
 * @param errorMs what the offset may be off by; infinite where nothing is known of it
 */
public record ClockFit(double atMs, double offsetMs, double driftPpm, double errorMs) {
    /** The clock that the others are judged by. */
    public static final ClockFit REFERENCE = new ClockFit(0, 0, 0, 0);

    /** A clock of which nothing is known. */
    public static final ClockFit UNKNOWN = new ClockFit(0, 0, 0, Double.POSITIVE_INFINITY);

    /** A time of the source's clock, as the reference would have shown it. */
    public double corrected(double ownMs) {
        return ownMs - offsetMs - driftPpm * 1e-6 * (ownMs - atMs);
    }
}
