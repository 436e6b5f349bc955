package sprucehold.policy;

/**
 * Histogram with exponential bins: the upper edge of each bin is {@value #BIN_GROWTH} times the
 * upper edge of the previous bin. Older values lose weight: all counts are halved whenever their
 * sum reaches the capacity.
 */
final class LatencyHistogram {
    private static final int BINS = 18;

    /** Upper edge of the first bin. */
    private static final double FIRST_BIN_MS = 10;

    private static final double BIN_GROWTH = 1.6;

    /** Minimum sum of counts for which a quantile is computed. */
    private static final double MIN_SAMPLES = 12;

    private final double[] counts = new double[BINS];
    private final int capacity;
    private double total;

    LatencyHistogram(int capacity) {
        this.capacity = capacity;
    }

    void add(double ms) {
        double bins = Math.log(Math.max(ms, FIRST_BIN_MS) / FIRST_BIN_MS) / Math.log(BIN_GROWTH);
        counts[Math.min((int) Math.ceil(bins), BINS - 1)]++;
        total++;
        if (total >= capacity) {
            halve();
        }
    }

    /** Halves the weight of all values so far. */
    void halve() {
        total = 0;
        for (int bin = 0; bin < BINS; bin++) {
            counts[bin] /= 2;
            total += counts[bin];
        }
    }

    /**
     * Returns the upper edge, in milliseconds, of the bin in which the cumulative count reaches a
     * share of all values.
     *
     * @param share from 0 to 1
     * @param fallback the result while there are too few values
     */
    double quantile(double share, double fallback) {
        if (total < MIN_SAMPLES) {
            return fallback;
        }
        double sum = 0;
        for (int bin = 0; bin < BINS; bin++) {
            sum += counts[bin];
            if (sum >= share * total) {
                return FIRST_BIN_MS * Math.pow(BIN_GROWTH, bin);
            }
        }
        return FIRST_BIN_MS * Math.pow(BIN_GROWTH, BINS - 1);
    }
}
