package sprucehold.cluster.allowance;

import java.util.List;
import sprucehold.cluster.quota.Permit;

/**
 * Leave for one dispatch, or one scan: all permits that it rests on have to hold when it is
 * written.
 */
public record Grant(List<Permit> permits) {
    public Grant {
        permits = List.copyOf(permits);
    }
}
