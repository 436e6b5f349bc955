package sprucehold.coordinator;

import java.util.List;
import java.util.Optional;

/**
 * Query as received from a client.
 *
 * @param id id chosen by the client
 * @param queryClass name of the query class
 * @param tenant name of the tenant; a query of an unknown tenant is treated as a query without one
 * @param timeLeftMs remaining time that the client waits for the answer, in milliseconds
 * @param idempotencyKey key by which shard servers recognize a part that would repeat an earlier
 *     effect; empty if the client sent none
 * @param parts parts of the query, one for each shard queried
 * @param body body that is sent with each part
 */
public record Query(
        String id,
        String queryClass,
        String tenant,
        double timeLeftMs,
        Optional<String> idempotencyKey,
        List<Part> parts,
        Payload body) {

    /** Creates a query without an idempotency key. */
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
     * Part of a query.
     *
     * @param shard shard that the part queries
     * @param weight share of the part in the whole answer, 0 to 1
     */
    public record Part(int shard, double weight) {}
}
