package sprucehold.messaging;

/** Token bucket whose capacity is the number of tokens allowed in one second. */
final class RateLimiter {
    private final double perSecond;
    private double tokens;
    private double refilledAtMs = Double.NaN;

    RateLimiter(double perSecond) {
        this.perSecond = perSecond;
        this.tokens = perSecond;
    }

    /** Takes the tokens if enough are available, and returns whether it took them. */
    boolean tryTake(double nowMs, double amount) {
        if (!Double.isNaN(refilledAtMs)) {
            tokens =
                    Math.min(
                            perSecond,
                            tokens + Math.max(0, nowMs - refilledAtMs) / 1000 * perSecond);
        }
        refilledAtMs = nowMs;
        if (amount > tokens) {
            return false;
        }
        tokens -= amount;
        return true;
    }
}
