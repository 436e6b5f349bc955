package sprucehold.coordinator;

import java.util.ArrayList;
import java.util.List;

/** One part of a query, with all its attempts, until the query is answered and none is pending. */
final class OpenPart {
    final String id;
    final int shard;
    final OpenQuery query;

    /** All attempts ever made of it; an attempt's number is its index here. */
    final List<Attempt> attempts = new ArrayList<>();

    /** What a shard server answered first; null before that, and once the query is over. */
    Payload value;

    OpenPart(OpenQuery query, int shard) {
        this.id = idOf(query.query, shard);
        this.shard = shard;
        this.query = query;
    }

    /** The name of a query's part that asks a shard. */
    static String idOf(Query query, int shard) {
        return query.id() + "." + shard;
    }

    boolean hasPendingAttempt() {
        return attempts.stream().anyMatch(Attempt::isPending);
    }
}
