package sprucehold.cluster.allowance;

/** A rate of arrivals as an exponentially weighted moving average. */
final class DemandRate {
    /**
     * Half-life of an arrival, in milliseconds: the rate follows the demand of the last second or
     * two.
     */
    private static final double HALF_LIFE_MS = 1000;

    private double weightedSum;
    private double updatedAtMs;

    /** Adds arrivals. */
    void add(double nowMs, double arrivals) {
        weightedSum = weightedSum * Math.pow(0.5, (nowMs - updatedAtMs) / HALF_LIFE_MS) + arrivals;
        updatedAtMs = nowMs;
    }

    /** Returns the arrivals per second. */
    double perSecond(double nowMs) {
        return weightedSum
                * Math.pow(0.5, (nowMs - updatedAtMs) / HALF_LIFE_MS)
                * Math.log(2)
                * 1000
                / HALF_LIFE_MS;
    }
}
