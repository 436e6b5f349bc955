package sprucehold.coordinator;

import java.util.List;
import java.util.Optional;

/**
 * A client's scan as it came.
 *
 * @param tenant the name; one that isn't known counts as none
 * @param timeLeftMs how long the client will wait from now on, in milliseconds
 * @param idempotencyKey by which shard servers know repeats of the same effect, if the client sent
 *     one
 * @param body what each part carries
 */
public record Query(
        String id,
        String queryClass,
        String tenant,
        double timeLeftMs,
        Optional<String> idempotencyKey,
        List<Part> parts,
        byte[] body) {

    /** A scan without an idempotency key. */
    public Query(
            String id,
            String tableType,
            String customer,
            double timeLeftMs,
            List<Part> parts,
            byte[] text) {
        this(id, tableType, customer, timeLeftMs, Optional.empty(), parts, text);
    }

    /** A part: its segment and its share of the whole answer. */
    public record Part(int shard, double weight) {}
}
