package sprucehold.node;

/** Unix time in milliseconds that never goes back: read once, then counted on by the monotonic clock. */
final class Clock {
    private final double startedAt = System.currentTimeMillis();
    private final long startedNanos = System.nanoTime();

    double now() {
        return startedAt + (System.nanoTime() - startedNanos) / 1e6;
    }
}
