package sprucehold.node;

/**
 * The clocks of this process: Unix time in milliseconds that never goes back, read once and then
 * counted on by the monotonic clock; and both clocks that it comes from, for what mustn't trust
 * either alone. Tests of clocks that are off shift them here and nowhere else.
 */
public final class Clock {
    /** How far the wall clock is off, in milliseconds. */
    private static final double WALL_CLOCK_OFFSET_MS =
            Double.parseDouble(System.getProperty("sprucehold.clockOffMs", "0"));

    /** How much too fast the monotonic clock counts, in parts of a million. */
    private static final double MONOTONIC_DRIFT =
            Double.parseDouble(System.getProperty("sprucehold.clockDriftPpm", "0")) / 1e6;

    /** By how much the wall clock jumps, and so many milliseconds after the start. */
    private static final double WALL_CLOCK_JUMP_MS =
            Double.parseDouble(System.getProperty("sprucehold.clockJumpMs", "0"));

    private static final double WALL_CLOCK_JUMP_AFTER_MS =
            Double.parseDouble(System.getProperty("sprucehold.clockJumpAfterMs", "0"));

    private final long startedNanos = System.nanoTime();
    private final double startedAtMs = wallMs();

    /** Unix time as it was at the start, and what was counted since. */
    public double now() {
        return startedAtMs + monotonicMs();
    }

    /** Milliseconds counted since the start. */
    public double monotonicMs() {
        return (System.nanoTime() - startedNanos) / 1e6 * (1 + MONOTONIC_DRIFT);
    }

    /** Unix time as the wall clock has it now; it may jump. */
    public double wallMs() {
        return System.currentTimeMillis()
                + WALL_CLOCK_OFFSET_MS
                + (WALL_CLOCK_JUMP_MS != 0 && monotonicMs() >= WALL_CLOCK_JUMP_AFTER_MS
                        ? WALL_CLOCK_JUMP_MS
                        : 0);
    }
}
