package sprucehold.shards;

import io.vertx.core.Future;
import sprucehold.coordinator.Attempt;

/**
 * Attempt whose frame was written to a connection. Compared by identity.
 *
 * @see InFlightAttempts
 */
final class InFlightAttempt {
    final Attempt attempt;
    final double writtenAtMs;

    /** Succeeds when the kernel has accepted the last byte of the frame; fails if it never does. */
    final Future<Void> write;

    InFlightAttempt(Attempt attempt, double writtenAtMs, Future<Void> write) {
        this.attempt = attempt;
        this.writtenAtMs = writtenAtMs;
        this.write = write;
    }
}
