package sprucehold.policy;

/** How many hedged requests may be sent; each part's first attempt adds to it. */
final class HedgeBudget {
    private static final double INITIAL = 5;

    /** Covers a share of the fleet that fails at once, and can't double a full load. */
    private static final double PER_FIRST_ATTEMPT = 0.2;

    private static final int MAX = 10;

    private double available = INITIAL;

    /**
     * Adds to the budget, up to half the parts of a large query, many of which may be late
     * together.
     */
    void onFirstAttempt(int partsOfQuery) {
        if (available < Math.max(MAX, partsOfQuery / 2)) {
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
