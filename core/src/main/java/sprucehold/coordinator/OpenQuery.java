package sprucehold.coordinator;

import java.util.List;
import sprucehold.decision.QueryClass;

/** The books of one scan that has no final answer yet. */
final class OpenQuery {
    final Query query;
    final double endsAt;
    final List<OpenPart> parts;
    boolean over;

    /** As it was taken, but for how often its parts may run, which a change may bind further. */
    QueryClass type;

    OpenQuery(Query query, QueryClass type, double endsAt) {
        this.query = query;
        this.type = type;
        this.endsAt = endsAt;
        this.parts = query.parts().stream().map(part -> new OpenPart(this, part.shard())).toList();
    }
}
