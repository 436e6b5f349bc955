package sprucehold.node;

/**
 * Clocks of this process, in milliseconds. The main clock is Unix time that never goes back: it is
 * read once from the wall clock and then advanced by the monotonic clock. The wall clock and the
 * monotonic clock are available too, for code that must not rely on one of them alone. Fault
 * injection changes clocks only in this class.
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

    /** Time of the injected jump of the wall clock, in milliseconds after the start. */
    private static final double WALL_CLOCK_JUMP_AFTER_MS =
            Double.parseDouble(System.getProperty("sprucehold.clockJumpAfterMs", "0"));

    private final long startedNanos = System.nanoTime();
    private final double startedAtMs = wallMs();

    /**
     * Returns the Unix time at the start plus the time that has passed since then on the monotonic
     * clock.
     */
    public double now() {
        return startedAtMs + monotonicMs();
    }

    /** Returns the time since the start on the monotonic clock. */
    public double monotonicMs() {
        return (System.nanoTime() - startedNanos) / 1e6 * (1 + MONOTONIC_DRIFT);
    }

    /** Returns the Unix time of the wall clock, which may jump. */
    public double wallMs() {
        return System.currentTimeMillis()
                + WALL_CLOCK_OFFSET_MS
                + (WALL_CLOCK_JUMP_MS != 0 && monotonicMs() >= WALL_CLOCK_JUMP_AFTER_MS
                        ? WALL_CLOCK_JUMP_MS
                        : 0);
    }
}
