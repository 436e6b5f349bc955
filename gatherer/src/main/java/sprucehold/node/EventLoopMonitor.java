package sprucehold.node;

import java.util.function.DoubleSupplier;
import java.util.logging.Logger;
import sprucehold.clients.ConnectionArrival;

/**
 * Monitors the passes of the event loop over its sockets, and its stalls. In each pass the loop
 * polls the system once for readable sockets, reads those, and then runs the tasks that were
 * submitted to it. This class tracks a lower bound of the time of the last poll. From that it
 * derives since when data that is read now may have been unread. A heartbeat updates the bound
 * while the loop is idle. It also detects stalls: a stopped process, an exhausted CPU quota, a long
 * garbage collection. Timers and clock are passed in.
 */
final class EventLoopMonitor {
    private static final Logger LOG = Logger.getLogger(EventLoopMonitor.class.getName());

    /**
     * Interval of the heartbeat, in milliseconds. While the loop is idle, the last pass that the
     * monitor has recorded was at most this long ago.
     */
    static final long HEARTBEAT_MS = 20;

    /**
     * Duration, in milliseconds, that normal passes and heartbeats stay below. It is a third of the
     * time by which the timeout that an attempt sends to its shard server may exceed the time left
     * to its client.
     */
    static final double NORMAL_PASS_MS = 50;

    /**
     * Delay of a heartbeat, in milliseconds, from which it counts as a stall. In such a stall the
     * close of a client's connection stays unread for the whole time within which an attempt may
     * still begin after that close.
     */
    static final double STALL_MS = 100;

    /** Minimum interval between two log lines about stalls, in milliseconds. */
    private static final double STALL_LOG_INTERVAL_MS = 1000;

    /** Timers of the event loop. */
    @FunctionalInterface
    interface Timers {
        /**
         * Schedules work to run after a delay, in the part of a pass that follows the reads of its
         * sockets. Work that is scheduled in that part runs in a later pass, whatever its delay.
         */
        void schedule(long delayMs, Runnable work);
    }

    private final DoubleSupplier clock;
    private final Timers timers;

    /** The last pass that is known to have read its sockets polled the system after this time. */
    private double polledAfterMs;

    private boolean stopped;
    private long stalls;
    private double longestStallMs;
    private double stallLoggedAtMs = Double.NEGATIVE_INFINITY;

    /**
     * Creates a monitor and starts its heartbeat. To be called in the part of a pass after its
     * sockets were read, as timers may be set only there.
     */
    EventLoopMonitor(DoubleSupplier clock, Timers timers) {
        this.clock = clock;
        this.timers = timers;
        this.polledAfterMs = clock.getAsDouble();
        scheduleHeartbeat();
    }

    private void scheduleHeartbeat() {
        double scheduledAtMs = clock.getAsDouble();
        timers.schedule(
                HEARTBEAT_MS,
                () -> {
                    if (stopped) {
                        return;
                    }
                    polledAfterMs = Math.max(polledAfterMs, scheduledAtMs);
                    double lateMs = clock.getAsDouble() - scheduledAtMs - HEARTBEAT_MS;
                    recordStall(lateMs);
                    if (lateMs > NORMAL_PASS_MS - HEARTBEAT_MS) {
                        // Updates the bound at once: data that arrives right after a stall has not
                        // been unread for the whole stall.
                        afterNextPass(() -> {});
                    }
                    scheduleHeartbeat();
                });
    }

    private void recordStall(double ms) {
        if (ms < STALL_MS) {
            return;
        }
        stalls++;
        longestStallMs = Math.max(longestStallMs, ms);
        double now = clock.getAsDouble();
        if (now - stallLoggedAtMs >= STALL_LOG_INTERVAL_MS) {
            stallLoggedAtMs = now;
            LOG.info("event loop stalled: duration_ms=" + Math.round(ms) + ", " + summary());
        }
    }

    /**
     * Runs work after a whole pass over the sockets that begins from now on, so that all data that
     * was unread until then has been read before the work runs. To be called in the part of a pass
     * after its sockets were read.
     */
    void afterNextPass(Runnable work) {
        double requestedAtMs = clock.getAsDouble();
        timers.schedule(
                0,
                () -> {
                    polledAfterMs = Math.max(polledAfterMs, requestedAtMs);
                    work.run();
                });
    }

    /**
     * Returns the earliest time since when data that is read at {@code nowMs} on a connection may
     * have been unread. While the loop isn't stalled, this is {@code nowMs} itself. If no whole
     * pass has read the connection since it was opened, the data may have arrived while the
     * connection waited to be accepted.
     */
    double earliestArrivalMs(double nowMs, ConnectionArrival arrival) {
        double since =
                polledAfterMs >= arrival.acceptedAtMs()
                        ? polledAfterMs
                        : Math.min(polledAfterMs, arrival.earliestConnectedAtMs());
        return nowMs - since <= NORMAL_PASS_MS ? nowMs : since;
    }

    /** Returns the number of stalls and the longest stall, as fields of a log line. */
    String summary() {
        return "stalls=" + stalls + ", longest_stall_ms=" + Math.round(longestStallMs);
    }

    /** Stops the heartbeat. */
    void stop() {
        stopped = true;
    }
}
