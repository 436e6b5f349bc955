package sprucehold.change.watch;

/**
 * Tests whether the mean of values from 0 to 1 lies under a bound, looking at each as it comes. It
 * bets against "the mean is at least the bound": each bet's stake is fixed beforehand, so under
 * that hypothesis no wealth is expected to grow, and wealth that reaches 1/a is reached with a
 * chance of at most a, however long it is looked at (Ville 1939; Shafer and Vovk; Waudby-Smith and
 * Ramdas, "Estimating means of bounded random variables by betting", 2024). Several stakes are
 * played at once and their wealth is averaged, which keeps the bound: large ones find a large fall
 * soon, small ones a small fall at last.
 */
public final class BettingTest {
    /**
     * Shares of the largest stake that can't ruin: doubling steps between the two find all falls
     * between.
     */
    private static final double[] STAKES = {0.03, 0.06, 0.12, 0.25, 0.5, 0.9};

    private final double bound;
    private final double[] logWealth = new double[STAKES.length];
    private double greatest;

    /**
     * @param bound above 0, at most 1
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
        // A value of 1 costs most: 1 + stake * (bound - 1) must stay above 0. A bound of 1 can't
        // lose at all.
        double most = 1 / Math.max(1 - bound, 0.05);
        for (int i = 0; i < STAKES.length; i++) {
            logWealth[i] += Math.log1p(STAKES[i] * Math.min(most, 5) * (bound - value));
        }
        greatest = Math.max(greatest, logWealth());
    }

    /** The logarithm of the averaged wealth, which began at 0. */
    public double logWealth() {
        double max = Double.NEGATIVE_INFINITY;
        for (double wealth : logWealth) {
            max = Math.max(max, wealth);
        }
        double sum = 0;
        for (double wealth : logWealth) {
            sum += Math.exp(wealth - max);
        }
        return max + Math.log(sum / STAKES.length);
    }

    /**
     * Whether the mean lies under the bound, but for a chance of {@code alpha} that it does not.
     */
    public boolean under(double alpha) {
        return greatest >= -Math.log(alpha);
    }
}
