package sprucehold.node;

import io.vertx.core.Vertx;
import java.util.function.DoubleSupplier;

/**
 * Timer for the next tick of the query coordinator. It fires at the requested time or soon after.
 */
final class DecisionTimer {
    private final Vertx vertx;
    private final DoubleSupplier clock;
    private final Runnable onFired;
    private long timer = -1;
    private double scheduledAtMs = Double.POSITIVE_INFINITY;

    /**
     * @param onFired is called on the event loop each time the timer fires
     */
    DecisionTimer(Vertx vertx, DoubleSupplier clock, Runnable onFired) {
        this.vertx = vertx;
        this.clock = clock;
        this.onFired = onFired;
    }

    /** Returns the time for which the timer is set, in milliseconds; infinite if it isn't set. */
    double scheduledAtMs() {
        return scheduledAtMs;
    }

    /** Sets the timer to another time, in milliseconds; infinite cancels it. */
    void schedule(double timeMs) {
        if (timeMs == scheduledAtMs) {
            return;
        }
        vertx.cancelTimer(timer);
        scheduledAtMs = timeMs;
        if (scheduledAtMs < Double.POSITIVE_INFINITY) {
            timer =
                    vertx.setTimer(
                            Math.max(1, (long) Math.ceil(scheduledAtMs - clock.getAsDouble())),
                            fired -> {
                                scheduledAtMs = Double.POSITIVE_INFINITY;
                                onFired.run();
                            });
        }
    }
}
