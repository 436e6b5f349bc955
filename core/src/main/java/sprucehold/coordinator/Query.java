package sprucehold.coordinator;

import java.util.List;
import java.util.Optional;

/**
 * A client's query as it came.
 *
 * @param id its name, chosen by the client
 * @param queryClass the name of its class
 * @param tenant the name of its tenant; one that isn't known counts as none
 * @param timeLeftMs how long the client still waits, in milliseconds
 * @param idempotencyKey by which shard servers know repeats of the same effect, if the client sent
 *     one
 * @param parts what it asks of which shard
 * @param body what each part carries
 */
public record Query(
        String id,
        String queryClass,
        String tenant,
        double timeLeftMs,
        Optional<String> idempotencyKey,
        List<Part> parts,
        Payload body) {

    /** A query without an idempotency key. */
    public Query(
            String id,
            String queryClass,
            String tenant,
            double timeLeftMs,
            List<Part> parts,
            Payload body) {
        this(id, queryClass, tenant, timeLeftMs, Optional.empty(), parts, body);
    }

    /**
     * A part of a query.
     *
     * @param shard the shard that it asks
     * @param weight its share of the whole answer, 0 to 1
     */
    public record Part(int shard, double weight) {}
}
