package sprucehold.picker;

import java.util.List;
import java.util.Optional;

/**
 * A client's scan as it came.
 *
 * @param customer the name; one that isn't known counts as none
 * @param timeLeftMs how long the client will wait from now on, in milliseconds
 * @param idempotencyKey by which shard servers know repeats of the same effect, if the client sent
 *     one
 * @param text what each part carries
 */
public record Scan(
        String id,
        String tableType,
        String customer,
        double timeLeftMs,
        Optional<String> idempotencyKey,
        List<Part> parts,
        byte[] text) {

    /** A scan without an idempotency key. */
    public Scan(
            String id,
            String tableType,
            String customer,
            double timeLeftMs,
            List<Part> parts,
            byte[] text) {
        this(id, tableType, customer, timeLeftMs, Optional.empty(), parts, text);
    }

    /** A part: its segment and its share of the whole answer. */
    public record Part(int segment, double weight) {}
}
