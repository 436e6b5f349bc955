package sprucehold.coordinator;

import java.util.ArrayList;
import java.util.List;

/** The books of one part. */
final class OpenPart {
    final String id;
    final int shard;
    final OpenQuery query;
    final List<Attempt> attempts = new ArrayList<>();
    byte[] value;

    OpenPart(OpenQuery openQuery, int segment) {
        this.id = openQuery.query.id() + "." + segment;
        this.shard = segment;
        this.query = openQuery;
    }

    boolean isPending() {
        return attempts.stream().anyMatch(attempt -> attempt.pending);
    }
}
