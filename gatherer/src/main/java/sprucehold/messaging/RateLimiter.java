package sprucehold.messaging;

/** A token bucket that holds what is allowed in one second. */
final class RateLimiter {
    private final double perSecond;
    private double tokens;
    private double refilledAtMs = Double.NaN;

    RateLimiter(double perS) {
        this.perSecond = perS;
        this.tokens = perS;
    }

    /** Takes so many tokens if they are there. */
    boolean take(double nowMs, double amount) {
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
