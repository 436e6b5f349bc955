package sprucehold.messaging;

/** So much a second, and one second's saved up. */
final class RateLimiter {
    private final double perSecond;
    private double left;
    private double atMs = Double.NaN;

    RateLimiter(double perS) {
        this.perSecond = perS;
        this.left = perS;
    }

    /** Takes so much if it is there. */
    boolean take(double nowMs, double amount) {
        if (!Double.isNaN(atMs)) {
            left = Math.min(perSecond, left + Math.max(0, nowMs - atMs) / 1000 * perSecond);
        }
        atMs = nowMs;
        if (amount > left) {
            return false;
        }
        left -= amount;
        return true;
    }
}
