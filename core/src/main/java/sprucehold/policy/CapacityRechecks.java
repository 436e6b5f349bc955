package sprucehold.policy;

/** Sees to a wake-up while something waits for capacity, which time alone may bring. */
final class CapacityRechecks {
    private static final double INTERVAL_MS = 25;

    private final DecisionContext context;
    private final Timers timers;
    private double nextAtMs;

    CapacityRechecks(DecisionContext context, Timers timers) {
        this.context = context;
        this.timers = timers;
    }

    /** Sets a timer unless one is set: each would bring a next one. */
    void schedule() {
        if (context.nowMs() >= nextAtMs) {
            nextAtMs = context.nowMs() + INTERVAL_MS;
            timers.at(nextAtMs, () -> {});
        }
    }
}
