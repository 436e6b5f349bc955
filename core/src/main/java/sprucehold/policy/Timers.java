package sprucehold.policy;

import java.util.Comparator;
import java.util.PriorityQueue;
import sprucehold.decision.Command;

/**
 * Tasks that fall due at a time. Tasks of the same time run in the order in which they were set.
 */
final class Timers {
    private record Timer(double dueMs, long sequence, Runnable task) {}

    private final PriorityQueue<Timer> timers =
            new PriorityQueue<>(
                    Comparator.comparingDouble(Timer::dueMs).thenComparingLong(Timer::sequence));
    private long timersSet;

    /** When the next wake-up that was asked for comes; infinite if none is. */
    private double wakeUpAtMs = Double.POSITIVE_INFINITY;

    /** Runs a task in the first call at or after a time. */
    void at(double dueMs, Runnable task) {
        timers.add(new Timer(dueMs, timersSet++, task));
    }

    /** Runs all tasks that are due, those included that a task sets. */
    void runDue(double nowMs) {
        if (wakeUpAtMs <= nowMs) {
            wakeUpAtMs = Double.POSITIVE_INFINITY;
        }
        while (!timers.isEmpty() && timers.peek().dueMs <= nowMs) {
            timers.poll().task.run();
        }
    }

    /** Asks for a wake-up at the next timer, unless one comes by then. */
    void scheduleWakeUp(double nowMs, CommandList commands) {
        if (!timers.isEmpty() && timers.peek().dueMs < wakeUpAtMs) {
            wakeUpAtMs = timers.peek().dueMs;
            commands.add(new Command.ScheduleWakeUp(Math.max(wakeUpAtMs - nowMs, 0)));
        }
    }
}
