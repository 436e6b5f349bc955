package sprucehold.messaging;

/** So much a second, and one second's saved up. */
final class RateLimiter {
    private final double perS;
    private double left;
    private double atMs = Double.NaN;

    RateLimiter(double perS) {
        this.perS = perS;
        this.left = perS;
    }

    /** Takes so much if it is there. */
    boolean take(double nowMs, double amount) {
        if (!Double.isNaN(atMs)) {
            left = Math.min(perS, left + Math.max(0, nowMs - atMs) / 1000 * perS);
        }
        atMs = nowMs;
        if (amount > left) {
            return false;
        }
        left -= amount;
        return true;
    }
}
