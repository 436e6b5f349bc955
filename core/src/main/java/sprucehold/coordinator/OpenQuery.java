package sprucehold.coordinator;

import java.util.List;
import sprucehold.decision.QueryClass;

/**
 * Query that was submitted, and its parts. After the query is closed, it is kept until none of its
 * attempts is pending.
 */
final class OpenQuery {
    final Query query;
    final double deadlineAtMs;
    final List<OpenPart> parts;

    /** Whether the query has its final answer or its client has disconnected. */
    private boolean closed;

    private QueryClass queryClass;

    OpenQuery(Query query, QueryClass queryClass, double deadlineAtMs) {
        this.query = query;
        this.queryClass = queryClass;
        this.deadlineAtMs = deadlineAtMs;
        this.parts = query.parts().stream().map(part -> new OpenPart(this, part.shard())).toList();
    }

    boolean isClosed() {
        return closed;
    }

    void markClosed() {
        closed = true;
    }

    /**
     * Returns the query class as of the receipt of the query, with the restrictions of later
     * changes applied.
     */
    QueryClass queryClass() {
        return queryClass;
    }

    /**
     * Restricts the query class after the query classes have changed, so that parts run again no
     * more often than either version allows.
     */
    void restrictClassBy(List<QueryClass> changedClasses) {
        queryClass = queryClass.restrictedBy(changedClasses);
    }
}
