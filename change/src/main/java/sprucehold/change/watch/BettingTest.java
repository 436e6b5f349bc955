package sprucehold.change.watch;

/**
 * An anytime-valid sequential test of whether the mean of values from 0 to 1 lies below a bound:
 * testing by betting (Waudby-Smith and Ramdas, "Estimating means of bounded random variables by
 * betting", 2024; Shafer and Vovk). It bets against the null hypothesis "the mean is at least the
 * bound". Each stake is fixed in advance, so under the null hypothesis the wealth is an e-process,
 * a nonnegative supermartingale that starts at 1, and by Ville's inequality (1939) the probability
 * that it ever reaches 1/alpha is at most alpha, however often it is checked. The wealth of several
 * stakes is averaged, which preserves this guarantee. Large stakes detect a large fall quickly;
 * small stakes detect a small fall after more values.
 */
public final class BettingTest {
    /** Stakes as fractions of the largest admissible stake; each is about twice the one before. */
    private static final double[] STAKES = {0.03, 0.06, 0.12, 0.25, 0.5, 0.9};

    /**
     * Lower limit of the greatest possible loss. It keeps the largest admissible stake finite for a
     * bound of 1, against which no value loses.
     */
    private static final double SMALLEST_LOSS = 0.05;

    /** Upper limit of the largest admissible stake, whatever the bound. */
    private static final double MAX_STAKE = 5;

    private final double bound;
    private final double[] logWealth = new double[STAKES.length];
    private double greatestLogWealth;

    /**
     * @param bound above 0, at most 1
     * @throws IllegalArgumentException if the bound is outside this range
     */
    public BettingTest(double bound) {
        if (!(bound > 0 && bound <= 1)) {
            throw new IllegalArgumentException(
                    "bound " + bound + " is out of range: above 0 and at most 1 expected");
        }
        this.bound = bound;
    }

    /** Adds the next value, from 0 to 1. */
    public void add(double value) {
        // A value of 1 loses the most, and 1 + stake * (bound - 1) has to stay above 0.
        double largestStake = 1 / Math.max(1 - bound, SMALLEST_LOSS);
        for (int i = 0; i < STAKES.length; i++) {
            logWealth[i] +=
                    Math.log1p(STAKES[i] * Math.min(largestStake, MAX_STAKE) * (bound - value));
        }
        greatestLogWealth = Math.max(greatestLogWealth, logWealth());
    }

    /** Returns the natural logarithm of the average wealth; 0 before the first value. */
    public double logWealth() {
        // Scales by the greatest wealth, so that the sum can't overflow.
        double greatest = Double.NEGATIVE_INFINITY;
        for (double wealth : logWealth) {
            greatest = Math.max(greatest, wealth);
        }
        double sum = 0;
        for (double wealth : logWealth) {
            sum += Math.exp(wealth - greatest);
        }
        return greatest + Math.log(sum / STAKES.length);
    }

    /**
     * Returns whether the test found that the mean lies below the bound.
     *
     * @param alpha greatest probability that the test ever finds this although the mean is at least
     *     the bound
     */
    public boolean meanIsBelowBound(double alpha) {
        return greatestLogWealth >= -Math.log(alpha);
    }
}
