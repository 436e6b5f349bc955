package sprucehold.policy;

/**
 * Limit on the attempts of this gatherer that may be pending at one shard server. The limit uses
 * additive increase and multiplicative decrease (Chiu and Jain, 1989). Below its initial value it
 * recovers faster.
 */
final class ConcurrencyLimit {
    /**
     * Initial limit: one attempt for each core of a small server, and as many attempts that wait in
     * its queue.
     */
    static final double INITIAL_LIMIT = 4;

    private static final double MIN_LIMIT = 1;
    private static final double DECREASE_FACTOR = 0.7;

    /**
     * Minimum time between two decreases, in milliseconds. It ensures that attempts that were
     * pending at the same time decrease the limit only once.
     */
    private static final double MIN_BETWEEN_DECREASES_MS = 200;

    /**
     * Time after a decrease, in milliseconds, during which a limit below the initial value grows by
     * {@link #ADDITIVE_STEP} for each attempt that completes in time. Later, each such attempt
     * doubles the limit.
     */
    private static final double ADDITIVE_GROWTH_MS = 2000;

    private static final double ADDITIVE_STEP = 0.5;

    private double limit = INITIAL_LIMIT;
    private double decreasedAtMs;

    double value() {
        return limit;
    }

    void onLate(double nowMs) {
        if (nowMs - decreasedAtMs > MIN_BETWEEN_DECREASES_MS) {
            decreasedAtMs = nowMs;
            limit = Math.max(MIN_LIMIT, DECREASE_FACTOR * limit);
        }
    }

    /**
     * Increases the limit after an attempt that completed in time.
     *
     * @param quick whether the server could queue more attempts and still complete them in time
     * @param pending number of attempts that are still pending at the server
     */
    void onCompletedInTime(double nowMs, boolean quick, int pending) {
        if (limit < INITIAL_LIMIT) {
            boolean additive = nowMs - decreasedAtMs < ADDITIVE_GROWTH_MS;
            limit = Math.min(INITIAL_LIMIT, additive ? limit + ADDITIVE_STEP : 2 * limit);
        } else if (quick && pending + 1 >= limit / 2) {
            // While less than half of the limit is used, completions do not show whether the server
            // could handle more attempts than the limit.
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
