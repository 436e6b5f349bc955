package sprucehold.decision;

import java.util.Map;

/**
 * What a gatherer knows through the others, where gatherers talk to each other. Each view replaces
 * the one before it.
 *
 * @param gatherers how many there are as far as is known, this one included; 0 where unknown
 * @param allowances units of each shared limit that this gatherer may consume now, never negative;
 *     a limit that isn't named isn't shared
 * @param failureScores by shard server, from 0 (nothing speaks against it) to 1 (several other
 *     gatherers saw it fail only); a server that isn't named has 0
 */
public record ClusterView(
        int gatherers, Map<SharedLimit, Integer> allowances, Map<String, Double> failureScores) {
    /** The view where gatherers don't talk. */
    public static final ClusterView NONE = new ClusterView(0, Map.of(), Map.of());

    /** Copies the maps. */
    public ClusterView {
        allowances = Map.copyOf(allowances);
        failureScores = Map.copyOf(failureScores);
    }
}
