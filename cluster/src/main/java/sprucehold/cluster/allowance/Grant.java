package sprucehold.cluster.allowance;

import java.util.List;
import sprucehold.cluster.quota.Permit;

/**
 * What one attempt, or one query, rests on.
 *
 * @param permits all have to be valid when it is written
 */
public record Grant(List<Permit> permits) {
    /** Copies the list. */
    public Grant {
        permits = List.copyOf(permits);
    }
}
