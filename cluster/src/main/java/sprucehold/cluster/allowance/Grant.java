package sprucehold.cluster.allowance;

import java.util.List;
import sprucehold.cluster.quota.Permit;

/**
 * Permits for one attempt or one query.
 *
 * @param permits all must be valid when the attempt or query is written
 */
public record Grant(List<Permit> permits) {
    /** Copies the list. */
    public Grant {
        permits = List.copyOf(permits);
    }
}
