package sprucehold.node;

import io.vertx.core.Vertx;
import java.util.function.DoubleSupplier;

/**
 * The one timer of the decisions: it fires at the time at which they want to be called again, or
 * soon after.
 */
final class DecisionTimer {
    private final Vertx vertx;
    private final DoubleSupplier clock;
    private final Runnable due;
    private long timer = -1;
    private double scheduledAtMs = Double.POSITIVE_INFINITY;

    /**
     * @param due is called on the event loop each time it fires
     */
    DecisionTimer(Vertx vertx, DoubleSupplier clock, Runnable due) {
        this.vertx = vertx;
        this.clock = clock;
        this.due = due;
    }

    /** The time for which it is set, in milliseconds; infinite where it isn't. */
    double scheduledAtMs() {
        return scheduledAtMs;
    }

    /** Sets it for another time; infinite sets it off. */
    void schedule(double wanted) {
        if (wanted == scheduledAtMs) {
            return;
        }
        vertx.cancelTimer(timer);
        scheduledAtMs = wanted;
        if (scheduledAtMs < Double.POSITIVE_INFINITY) {
            timer =
                    vertx.setTimer(
                            Math.max(1, (long) Math.ceil(scheduledAtMs - clock.getAsDouble())),
                            fired -> {
                                scheduledAtMs = Double.POSITIVE_INFINITY;
                                due.run();
                            });
        }
    }
}
