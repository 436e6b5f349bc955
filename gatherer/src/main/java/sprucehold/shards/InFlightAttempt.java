package sprucehold.shards;

import io.vertx.core.Future;
import sprucehold.coordinator.Attempt;

/**
 * An attempt whose frame was handed to a connection. Compared by identity.
 *
 * @see InFlightAttempts
 */
final class InFlightAttempt {
    final Attempt attempt;
    final double writtenAtMs;

    /** Succeeds once the last byte of its frame is handed over; fails if that never came to be. */
    final Future<Void> write;

    InFlightAttempt(Attempt attempt, double writtenAtMs, Future<Void> write) {
        this.attempt = attempt;
        this.writtenAtMs = writtenAtMs;
        this.write = write;
    }
}
