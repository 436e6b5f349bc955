package sprucehold.clients;

import java.util.concurrent.Executor;
import java.util.function.DoubleSupplier;

/**
 * When the event loop's passes over the sockets begin. All that is read in one pass lay in the
 * system's buffers when the pass began, so a request that is read last in a long pass has waited
 * since then.
 */
final class ReadingPasses {
    private final DoubleSupplier clock;
    private double beganAtMs = Double.NaN;

    ReadingPasses(DoubleSupplier clock) {
        this.clock = clock;
    }

    /**
     * Something is read.
     *
     * @param loop runs what it is handed once the pass is through
     */
    void reading(Executor loop) {
        if (Double.isNaN(beganAtMs)) {
            beganAtMs = clock.getAsDouble();
            loop.execute(() -> beganAtMs = Double.NaN);
        }
    }

    /** When the pass under way began, in milliseconds; now if none is. */
    double beganAtMs() {
        return Double.isNaN(beganAtMs) ? clock.getAsDouble() : beganAtMs;
    }
}
