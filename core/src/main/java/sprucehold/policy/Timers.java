package sprucehold.policy;

import java.util.Comparator;
import java.util.PriorityQueue;
import sprucehold.decision.Command;

/**
 * Tasks that are scheduled for a time. Tasks with the same time run in the order in which they were
 * scheduled.
 */
final class Timers {
    private record Timer(double dueMs, long sequence, Runnable task) {}

    private final PriorityQueue<Timer> timers =
            new PriorityQueue<>(
                    Comparator.comparingDouble(Timer::dueMs).thenComparingLong(Timer::sequence));
    private long timersScheduled;

    /** Time of the next wake-up that was requested, in milliseconds; infinite if there is none. */
    private double wakeUpAtMs = Double.POSITIVE_INFINITY;

    /** Schedules a task for the first call at or after a given time. */
    void schedule(double dueMs, Runnable task) {
        timers.add(new Timer(dueMs, timersScheduled++, task));
    }

    /** Runs all tasks whose time has been reached, including tasks that are scheduled meanwhile. */
    void runDue(double nowMs) {
        if (wakeUpAtMs <= nowMs) {
            wakeUpAtMs = Double.POSITIVE_INFINITY;
        }
        while (!timers.isEmpty() && timers.peek().dueMs <= nowMs) {
            timers.poll().task.run();
        }
    }

    /**
     * Requests a wake-up for the next timer, unless one is already requested for that time or
     * earlier.
     */
    void scheduleWakeUp(double nowMs, CommandList commands) {
        if (!timers.isEmpty() && timers.peek().dueMs < wakeUpAtMs) {
            wakeUpAtMs = timers.peek().dueMs;
            commands.add(new Command.ScheduleWakeUp(Math.max(wakeUpAtMs - nowMs, 0)));
        }
    }
}
