package sprucehold.policy;

/**
 * How many attempts of this gatherer may be pending at one shard server: additive increase,
 * multiplicative decrease (Chiu and Jain, 1989). Below the initial limit it recovers faster.
 */
final class ConcurrencyLimit {
    /** The cores of a small server and as many attempts that wait there. */
    static final double INITIAL_LIMIT = 4;

    private static final double MIN_LIMIT = 1;
    private static final double DECREASE_FACTOR = 0.7;

    /** Attempts that were pending together cut the limit once. */
    private static final double MIN_BETWEEN_CUTS_MS = 200;

    /** For so long after a cut the limit grows by steps, later it doubles. */
    private static final double CAREFUL_GROWTH_MS = 2000;

    private static final double CAREFUL_STEP = 0.5;

    private double limit = INITIAL_LIMIT;
    private double cutAtMs;

    double value() {
        return limit;
    }

    void onLate(double nowMs) {
        if (nowMs - cutAtMs > MIN_BETWEEN_CUTS_MS) {
            cutAtMs = nowMs;
            limit = Math.max(MIN_LIMIT, DECREASE_FACTOR * limit);
        }
    }

    /**
     * Grows the limit after an attempt that wasn't late.
     *
     * @param quick whether more attempts could wait at the server and still be in time
     * @param pending attempts that are pending there now
     */
    void onCompletedInTime(double nowMs, boolean quick, int pending) {
        if (limit < INITIAL_LIMIT) {
            boolean careful = nowMs - cutAtMs < CAREFUL_GROWTH_MS;
            limit = Math.min(INITIAL_LIMIT, careful ? limit + CAREFUL_STEP : 2 * limit);
        } else if (quick && pending + 1 >= limit / 2) {
            // An unused limit tells nothing about a higher one.
            limit += 1 / limit;
        }
    }

    void reduceToMinimum() {
        limit = MIN_LIMIT;
    }

    void onServerStarted(boolean warmingUp) {
        limit = warmingUp ? MIN_LIMIT : INITIAL_LIMIT;
    }
}
