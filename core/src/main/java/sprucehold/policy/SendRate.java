package sprucehold.policy;

/** The rate of attempts sent, as an exponentially decaying average. */
final class SendRate {
    /** Long beside a quiet gatherer's gaps between queries, short beside a server's warm-up. */
    private static final double TIME_CONSTANT_MS = 2000;

    private double perMs;
    private double updatedAtMs;

    void add(double nowMs) {
        perMs = perMs(nowMs) + 1 / TIME_CONSTANT_MS;
    }

    /** Attempts a millisecond. */
    double perMs(double nowMs) {
        perMs *= Math.exp((updatedAtMs - nowMs) / TIME_CONSTANT_MS);
        updatedAtMs = nowMs;
        return perMs;
    }
}
