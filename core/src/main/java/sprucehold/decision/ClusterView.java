package sprucehold.decision;

import java.util.Map;

/**
 * State that a gatherer receives from the other gatherers of its cluster. Each view replaces the
 * previous one.
 *
 * @param gatherers number of known gatherers, including this one; 0 if unknown
 * @param allowances units of each shared limit that this gatherer may consume now, never negative;
 *     a limit without an entry is not shared
 * @param failureScores failure score of each shard server, from 0 (no evidence of failures) to 1
 *     (several other gatherers observed only failures); a server without an entry has score 0
 */
public record ClusterView(
        int gatherers, Map<SharedLimit, Integer> allowances, Map<String, Double> failureScores) {
    /** View of a gatherer that exchanges no state with other gatherers. */
    public static final ClusterView NONE = new ClusterView(0, Map.of(), Map.of());

    /** Copies the maps. */
    public ClusterView {
        allowances = Map.copyOf(allowances);
        failureScores = Map.copyOf(failureScores);
    }
}
