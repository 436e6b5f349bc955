package sprucehold.node;

/**
 * The clocks of this process, in milliseconds: Unix time that never goes back, read once from the
 * wall clock and then advanced by the monotonic clock; and both clocks that it comes from, for what
 * mustn't trust either alone. Fault injection shifts clocks here and nowhere else.
 */
public final class Clock {
    /** Injected offset of the wall clock, in milliseconds. */
    private static final double WALL_CLOCK_OFFSET_MS =
            Double.parseDouble(System.getProperty("sprucehold.clockOffMs", "0"));

    /** Injected drift of the monotonic clock, as a factor on top of 1. */
    private static final double MONOTONIC_DRIFT =
            Double.parseDouble(System.getProperty("sprucehold.clockDriftPpm", "0")) / 1e6;

    /** Injected jump of the wall clock, in milliseconds. */
    private static final double WALL_CLOCK_JUMP_MS =
            Double.parseDouble(System.getProperty("sprucehold.clockJumpMs", "0"));

    /** When the wall clock jumps, in milliseconds after the start. */
    private static final double WALL_CLOCK_JUMP_AFTER_MS =
            Double.parseDouble(System.getProperty("sprucehold.clockJumpAfterMs", "0"));

    private final long startedNanos = System.nanoTime();
    private final double startedAtMs = wallMs();

    /** Unix time as it was at the start, plus the time that the monotonic clock counted since. */
    public double now() {
        return startedAtMs + monotonicMs();
    }

    /** Milliseconds that the monotonic clock counted since the start. */
    public double monotonicMs() {
        return (System.nanoTime() - startedNanos) / 1e6 * (1 + MONOTONIC_DRIFT);
    }

    /** Unix time by the wall clock; it may jump. */
    public double wallMs() {
        return System.currentTimeMillis()
                + WALL_CLOCK_OFFSET_MS
                + (WALL_CLOCK_JUMP_MS != 0 && monotonicMs() >= WALL_CLOCK_JUMP_AFTER_MS
                        ? WALL_CLOCK_JUMP_MS
                        : 0);
    }
}
