package sprucehold.policy;

/**
 * Schedules wake-ups while queries or parts wait for capacity, because capacity can become
 * available without an event, for example when an ejection ends.
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
     * Sets a timer unless one is already set. Otherwise, each call would set a timer, each timer
     * would cause another call, and the timers would multiply.
     */
    void schedule() {
        if (context.nowMs() >= nextAtMs) {
            nextAtMs = context.nowMs() + INTERVAL_MS;
            timers.schedule(nextAtMs, () -> {});
        }
    }
}
