package sprucehold.change.watch;

/**
 * An anytime-valid sequential test of whether the mean of values from 0 to 1 lies below a bound:
 * testing by betting (Waudby-Smith and Ramdas, "Estimating means of bounded random variables by
 * betting", 2024; Shafer and Vovk). It bets against "the mean is at least the bound". Each stake is
 * fixed in advance, so under that hypothesis the wealth is an e-process, a nonnegative
 * supermartingale from 1, and by Ville's inequality (1939) it ever reaches 1/alpha with a
 * probability of at most alpha, however often it is looked at. The wealth of several stakes is
 * averaged, which keeps the bound: large stakes detect a large fall soon, small ones a small fall
 * at last.
 */
public final class BettingTest {
    /** Fractions of the largest admissible stake, about doubling. */
    private static final double[] STAKES = {0.03, 0.06, 0.12, 0.25, 0.5, 0.9};

    /** Keeps the largest admissible stake finite for a bound of 1, which can't lose. */
    private static final double SMALLEST_LOSS = 0.05;

    /** Largest stake of all. */
    private static final double MAX_STAKE = 5;

    private final double bound;
    private final double[] logWealth = new double[STAKES.length];
    private double greatestLogWealth;

    /**
     * @param bound above 0, at most 1
     * @throws IllegalArgumentException for another bound
     */
    public BettingTest(double bound) {
        if (!(bound > 0 && bound <= 1)) {
            throw new IllegalArgumentException(
                    "a bound of " + bound + ", above 0 and at most 1 was expected");
        }
        this.bound = bound;
    }

    /** Takes the next value, from 0 to 1. */
    public void add(double value) {
        // A value of 1 loses most, and 1 + stake * (bound - 1) has to stay above 0.
        double largestStake = 1 / Math.max(1 - bound, SMALLEST_LOSS);
        for (int i = 0; i < STAKES.length; i++) {
            logWealth[i] +=
                    Math.log1p(STAKES[i] * Math.min(largestStake, MAX_STAKE) * (bound - value));
        }
        greatestLogWealth = Math.max(greatestLogWealth, logWealth());
    }

    /** The natural logarithm of the average wealth, 0 at the beginning. */
    public double logWealth() {
        // Scaled by the greatest, so that the sum can't overflow.
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
     * Whether the mean was found to lie below the bound.
     *
     * @param alpha the probability with which this may ever be said wrongly
     */
    public boolean meanIsBelowBound(double alpha) {
        return greatestLogWealth >= -Math.log(alpha);
    }
}
