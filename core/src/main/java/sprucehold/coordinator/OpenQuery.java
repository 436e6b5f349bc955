package sprucehold.coordinator;

import java.util.List;
import sprucehold.decision.QueryClass;

/** A query that has no final answer yet, and its parts. */
final class OpenQuery {
    final Query query;
    final double deadlineAtMs;
    final List<OpenPart> parts;

    /** Whether it has its final answer, or its client has disconnected. */
    private boolean over;

    private QueryClass queryClass;

    OpenQuery(Query query, QueryClass queryClass, double deadlineAtMs) {
        this.query = query;
        this.queryClass = queryClass;
        this.deadlineAtMs = deadlineAtMs;
        this.parts = query.parts().stream().map(part -> new OpenPart(this, part.shard())).toList();
    }

    boolean isOver() {
        return over;
    }

    void markOver() {
        over = true;
    }

    /** Its class as it was received under, but for what later changes restrict. */
    QueryClass queryClass() {
        return queryClass;
    }

    /** The query classes have changed: its parts may run again no more often than both allow. */
    void restrictClassBy(List<QueryClass> changed) {
        queryClass = queryClass.restrictedBy(changed);
    }
}
