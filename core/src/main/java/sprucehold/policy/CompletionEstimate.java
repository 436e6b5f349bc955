package sprucehold.policy;

/** The estimated share of sent parts that complete before their round's timer. */
final class CompletionEstimate {
    /** Weight of the latest round in the moving average. */
    private static final double ROUND_WEIGHT = 0.1;

    /** The estimate is cut so that a first round is more often enough. */
    private static final double SAFETY_FACTOR = 0.9;

    /** Keeps an exact quotient from being rounded up. */
    private static final double WIDTH_TOLERANCE = 1e-9;

    private double completedShare = 1;

    double value() {
        return completedShare;
    }

    /** Takes in a round whose timer has expired. */
    void onRoundTimer(Round round) {
        if (round.counted() > 0) {
            double share = (double) round.completedInTime() / round.counted();
            completedShare += ROUND_WEIGHT * (share - completedShare);
        }
    }

    /** How many parts a first round sends so that as many complete as are needed. */
    int firstWidth(int neededParts) {
        double estimate = SAFETY_FACTOR * completedShare;
        return estimate <= 0 ? 1 : (int) Math.ceil(neededParts / estimate - WIDTH_TOLERANCE);
    }
}
