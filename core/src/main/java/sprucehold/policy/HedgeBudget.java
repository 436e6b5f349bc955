package sprucehold.policy;

/** Budget of hedged requests. Each part's first attempt adds to the budget. */
final class HedgeBudget {
    private static final double INITIAL_BUDGET = 5;

    /**
     * Hedged requests that each first attempt adds. This covers a share of the fleet that fails at
     * once, and is too little to double a full load.
     */
    private static final double PER_FIRST_ATTEMPT = 0.2;

    private static final int MAX_BUDGET = 10;

    private double available = INITIAL_BUDGET;

    /**
     * Adds to the budget for the first attempt of a part. The upper limit is {@link #MAX_BUDGET},
     * or half the number of parts of a larger query, because many of them may be late at the same
     * time.
     */
    void onFirstAttempt(int partsOfQuery) {
        if (available < Math.max(MAX_BUDGET, partsOfQuery / 2)) {
            available += PER_FIRST_ATTEMPT;
        }
    }

    boolean isExhausted() {
        return available < 1;
    }

    void consume() {
        available--;
    }
}
