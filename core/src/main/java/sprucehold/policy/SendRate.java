package sprucehold.policy;

/** Rate of attempts sent, as an exponentially decaying average. */
final class SendRate {
    /**
     * Time constant of the average, in milliseconds. It is long compared with the gaps between
     * queries of a gatherer with little traffic, and short compared with a server's warm-up.
     */
    private static final double TIME_CONSTANT_MS = 2000;

    private double perMs;
    private double updatedAtMs;

    void add(double nowMs) {
        perMs = perMs(nowMs) + 1 / TIME_CONSTANT_MS;
    }

    /** Returns the average number of attempts per millisecond. */
    double perMs(double nowMs) {
        perMs *= Math.exp((updatedAtMs - nowMs) / TIME_CONSTANT_MS);
        updatedAtMs = nowMs;
        return perMs;
    }
}
