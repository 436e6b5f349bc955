package sprucehold.clients;

import java.util.concurrent.Executor;
import java.util.function.DoubleSupplier;

/**
 * Records when the current pass of the event loop over the sockets began. All bytes read in one
 * pass may have been in the receive buffers when the pass began, so a request that is read last in
 * a long pass may have waited since then.
 */
final class ReadPassTracker {
    private final DoubleSupplier clock;
    private final DecodeBudget decodeBudget = new DecodeBudget();
    private double passBeganAtMs = Double.NaN;

    ReadPassTracker(DoubleSupplier clock) {
        this.clock = clock;
    }

    /**
     * Records a read; the first read of a pass marks the beginning of the pass.
     *
     * @param loop event loop, which runs a submitted task after the pass
     */
    void onRead(Executor loop) {
        if (Double.isNaN(passBeganAtMs)) {
            passBeganAtMs = clock.getAsDouble();
            decodeBudget.passBegan();
            loop.execute(() -> passBeganAtMs = Double.NaN);
        }
    }

    /** Returns the budget of the work of decoding in each pass. */
    DecodeBudget decodeBudget() {
        return decodeBudget;
    }

    /** Returns when the current pass began, in milliseconds, or the current time outside a pass. */
    double passBeganAtMs() {
        return Double.isNaN(passBeganAtMs) ? clock.getAsDouble() : passBeganAtMs;
    }
}
