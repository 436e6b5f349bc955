package sprucehold.policy;

/** Estimated share of sent parts that complete before the timer of their round expires. */
final class CompletionEstimate {
    /** Weight of the latest round in the moving average. */
    private static final double ROUND_WEIGHT = 0.1;

    /** Factor that lowers the estimate, so that the first round suffices more often. */
    private static final double SAFETY_FACTOR = 0.9;

    /** Tolerance that keeps rounding errors from raising an exact quotient to the next integer. */
    private static final double WIDTH_TOLERANCE = 1e-9;

    private double completedShare = 1;

    double value() {
        return completedShare;
    }

    /** Updates the estimate with a round whose timer has expired. */
    void onRoundTimer(Round round) {
        if (round.countedParts() > 0) {
            double share = (double) round.completedInTime() / round.countedParts();
            completedShare += ROUND_WEIGHT * (share - completedShare);
        }
    }

    /**
     * Returns how many parts the first round has to send so that, according to the estimate, the
     * needed number of parts completes.
     */
    int firstRoundWidth(int neededParts) {
        double estimate = SAFETY_FACTOR * completedShare;
        return estimate <= 0 ? 1 : (int) Math.ceil(neededParts / estimate - WIDTH_TOLERANCE);
    }
}
