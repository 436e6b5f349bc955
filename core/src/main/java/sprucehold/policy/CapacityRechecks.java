package sprucehold.policy;

/**
 * Schedules wake-ups while queries or parts wait for capacity, because capacity may become
 * available by the passing of time alone.
 */
final class CapacityRechecks {
    private static final double INTERVAL_MS = 25;

    private final DecisionContext context;
    private final Timers timers;
    private double nextAtMs;

    CapacityRechecks(DecisionContext context, Timers timers) {
        this.context = context;
        this.timers = timers;
    }

    /**
     * Sets a timer unless one is already set. Without this check each timer would set another one,
     * and the timers would multiply.
     */
    void schedule() {
        if (context.nowMs() >= nextAtMs) {
            nextAtMs = context.nowMs() + INTERVAL_MS;
            timers.schedule(nextAtMs, () -> {});
        }
    }
}
