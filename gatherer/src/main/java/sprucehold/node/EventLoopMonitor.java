package sprucehold.node;

import java.util.function.DoubleSupplier;
import java.util.logging.Logger;
import sprucehold.clients.ConnectionArrival;

/**
 * Follows the passes of the event loop over its sockets, and its stalls. In each pass the loop asks
 * the system once which sockets can be read, reads those, and then does the work that was handed to
 * it. This class knows when a pass has asked the system, and from that since when something that is
 * read now may have lain unread. A heartbeat keeps that knowledge fresh while nothing else happens,
 * and shows stalls: a stopped process, a spent CPU quota, a long garbage collection. Pure: timers
 * and clock are handed in.
 */
final class EventLoopMonitor {
    private static final Logger LOG = Logger.getLogger(EventLoopMonitor.class.getName());

    /**
     * Interval of the heartbeat in milliseconds, and so the age that the knowledge of the last pass
     * reaches at rest.
     */
    static final long HEARTBEAT_MS = 20;

    /**
     * Duration in milliseconds that usual passes and heartbeats stay under; a third of the time
     * that an attempt may tell its shard server beyond what its client has left.
     */
    static final double NORMAL_PASS_MS = 50;

    /**
     * A heartbeat that is late by so many milliseconds counts as a stall: a client's close then
     * lies unread for as long as an attempt may follow it.
     */
    static final double STALL_MS = 100;

    /** Stalls are logged no more often than this, in milliseconds. */
    private static final double STALL_LOG_INTERVAL_MS = 1000;

    /** Timers of the event loop. */
    @FunctionalInterface
    interface Timers {
        /**
         * Has work done once so much time has passed, in the part of a pass that comes after its
         * sockets were read. Work that is handed over in that part, whatever its delay, is done in
         * a later pass.
         */
        void schedule(long delayMs, Runnable work);
    }

    private final DoubleSupplier clock;
    private final Timers timers;

    /** The last pass that is known to have read its sockets asked the system after this moment. */
    private double polledAfterMs;

    private boolean stopped;
    private long stalls;
    private double longestStallMs;
    private double stallLoggedAtMs = Double.NEGATIVE_INFINITY;

    /** To be made where timers may be set: in the part of a pass after its sockets were read. */
    EventLoopMonitor(DoubleSupplier clock, Timers timers) {
        this.clock = clock;
        this.timers = timers;
        this.polledAfterMs = clock.getAsDouble();
        scheduleHeartbeat();
    }

    private void scheduleHeartbeat() {
        double from = clock.getAsDouble();
        timers.schedule(
                HEARTBEAT_MS,
                () -> {
                    if (stopped) {
                        return;
                    }
                    polledAfterMs = Math.max(polledAfterMs, from);
                    double lateMs = clock.getAsDouble() - from - HEARTBEAT_MS;
                    recordStall(lateMs);
                    if (lateMs > NORMAL_PASS_MS - HEARTBEAT_MS) {
                        // Known anew at once: whoever asks right after a stall has not waited for
                        // all of it.
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
     * Has work done after a whole pass over the sockets that begins from now on, so that it knows
     * all that lay unread until then. To be called in the part of a pass after its sockets were
     * read.
     */
    void afterNextPass(Runnable work) {
        double from = clock.getAsDouble();
        timers.schedule(
                0,
                () -> {
                    polledAfterMs = Math.max(polledAfterMs, from);
                    work.run();
                });
    }

    /**
     * Since when something that is read at a moment on a connection may have lain unread: that
     * moment itself where the loop is on time. A connection that no whole pass has read since it
     * was opened may bring what came while it waited to be accepted.
     */
    double unreadSince(double nowMs, ConnectionArrival arrival) {
        double since =
                polledAfterMs >= arrival.openedAtMs()
                        ? polledAfterMs
                        : Math.min(polledAfterMs, arrival.connectedSinceMs());
        return nowMs - since <= NORMAL_PASS_MS ? nowMs : since;
    }

    /** How often and how long the loop stalled, as fields of a log line. */
    String summary() {
        return "stalls=" + stalls + ", longest_stall_ms=" + Math.round(longestStallMs);
    }

    /** Ends the heartbeat. */
    void stop() {
        stopped = true;
    }
}
