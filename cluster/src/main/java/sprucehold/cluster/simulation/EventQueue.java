package sprucehold.cluster.simulation;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * The events of a simulation, ordered by time. Events at the same time are ordered as they were
 * scheduled. Times are milliseconds of simulated time.
 */
final class EventQueue {
    private record Event(double atMs, long order, Runnable action) {}

    private final PriorityQueue<Event> events =
            new PriorityQueue<>(
                    Comparator.comparingDouble(Event::atMs).thenComparingLong(Event::order));
    private double nowMs;
    private long scheduled;

    /** Returns the time of the event that is running. */
    double nowMs() {
        return nowMs;
    }

    void schedule(double atMs, Runnable action) {
        events.add(new Event(atMs, scheduled++, action));
    }

    /** Runs all events up to {@code endMs}, including those scheduled by other events. */
    void runUntil(double endMs) {
        while (!events.isEmpty() && events.peek().atMs <= endMs) {
            Event event = events.poll();
            nowMs = event.atMs;
            event.action.run();
        }
    }
}
