package sprucehold.node;

/** Unix time in milliseconds that never goes back: read once, then counted on by the monotonic clock. */
final class Clock {
    /** For tests of clocks that are off: how far this one is, in milliseconds. */
    private static final double OFF_MS = Double.parseDouble(System.getProperty("sprucehold.clockOffMs", "0"));

    private final double startedAt = System.currentTimeMillis() + OFF_MS;
    private final long startedNanos = System.nanoTime();

    double now() {
        return startedAt + (System.nanoTime() - startedNanos) / 1e6;
    }
}
