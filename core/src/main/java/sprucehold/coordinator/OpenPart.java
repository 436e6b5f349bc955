package sprucehold.coordinator;

import java.util.ArrayList;
import java.util.List;
import sprucehold.decision.QueryClass;

/**
 * One part of a query and all attempts of the part. It is kept until the query is closed and no
 * attempt of the part is pending.
 */
final class OpenPart {
    final String id;
    final int shard;
    final OpenQuery query;

    /** All attempts made for this part. The index of an attempt is its number. */
    final List<Attempt> attempts = new ArrayList<>();

    /** First value returned by a shard server; null before that and after the query is closed. */
    Payload value;

    /** The attempt that returned the value, or null. */
    Attempt completedBy;

    OpenPart(OpenQuery query, int shard) {
        this.id = idOf(query.query, shard);
        this.shard = shard;
        this.query = query;
    }

    /** Returns the id of the part that a query sends to a shard. */
    static String idOf(Query query, int shard) {
        return query.id() + "." + shard;
    }

    /** Returns whether the part must not run again because an attempt may have run it. */
    boolean isSpent() {
        return query.queryClass().idempotence() != QueryClass.Idempotence.IDEMPOTENT
                && attempts.stream().anyMatch(Attempt::mayRun);
    }

    boolean hasPendingAttempt() {
        return attempts.stream().anyMatch(Attempt::isPending);
    }
}
