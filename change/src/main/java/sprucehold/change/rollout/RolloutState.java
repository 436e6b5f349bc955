package sprucehold.change.rollout;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * The whole state of a rollout, as a value that is saved after each step and resumed from. Its JSON
 * is the rollout's state file; names in annotations are those of the file.
 *
 * @param id the rollout's own id; a gatherer recognises a repeated proposal by it
 * @param waves the gatherers of each wave, in order
 * @param wave index of the current wave, from 0
 * @param gathererStates what is known of each gatherer
 * @param phase what the rollout is doing
 * @param reason why it was halted; empty while it was not
 */
public record RolloutState(
        String id,
        List<List<String>> waves,
        int wave,
        @JsonProperty("standing") SortedMap<String, GathererState> gathererStates,
        Phase phase,
        @JsonProperty("why") String reason) {

    /** What is known of one gatherer. */
    public enum GathererState {
        /** Nothing was proposed yet: it serves its former version. */
        @JsonProperty("UNTOUCHED")
        NOT_PROPOSED("UNTOUCHED"),
        /** Proposed and not answered yet: whether it accepted is unknown, so it is asked again. */
        @JsonProperty("ASKED")
        PROPOSED("ASKED"),
        /** It accepted the change and watches it. */
        @JsonProperty("WATCHED")
        WATCHED("WATCHED"),
        /** It confirmed the change. */
        @JsonProperty("CONFIRMED")
        CONFIRMED("CONFIRMED"),
        /** It rejected the change and serves its former version. */
        @JsonProperty("TURNED_DOWN")
        REJECTED("TURNED_DOWN"),
        /** It rolled the change back by itself. */
        @JsonProperty("UNDONE")
        ROLLED_BACK("UNDONE"),
        /** Asked to revert and not answered yet. */
        @JsonProperty("TAKING_BACK")
        REVERTING("TAKING_BACK"),
        /** It reverted the change when asked to. */
        @JsonProperty("TAKEN_BACK")
        REVERTED("TAKEN_BACK");

        private final String storedName;

        GathererState(String storedName) {
            this.storedName = storedName;
        }

        /** The name in state files and in what the command line prints. */
        public String storedName() {
            return storedName;
        }
    }

    /** What the rollout is doing. */
    public enum Phase {
        /** Proposing the change, wave by wave. */
        @JsonProperty("ROLLING")
        ROLLING,
        /** Halted: gatherers that may have the change are asked to revert it. */
        @JsonProperty("TAKING_BACK")
        REVERTING,
        /** Over: every gatherer confirmed the change. */
        @JsonProperty("DONE")
        DONE,
        /** Over: halted, and every revert was answered or given up. */
        @JsonProperty("HALTED")
        HALTED
    }

    /** Copies its collections. */
    public RolloutState {
        waves = waves.stream().map(List::copyOf).toList();
        gathererStates = Collections.unmodifiableSortedMap(new TreeMap<>(gathererStates));
    }

    /**
     * The state of a rollout that has not begun.
     *
     * @throws IllegalArgumentException if a gatherer is listed twice
     */
    public static RolloutState of(String id, List<List<String>> waves) {
        var states = new TreeMap<String, GathererState>();
        for (List<String> wave : waves) {
            for (String gatherer : wave) {
                if (states.put(gatherer, GathererState.NOT_PROPOSED) != null) {
                    throw new IllegalArgumentException("gatherer " + gatherer + " stands twice");
                }
            }
        }
        return new RolloutState(id, waves, 0, states, Phase.ROLLING, "");
    }

    /**
     * Splits a fleet into waves: one gatherer first, then twice as many each time, so that a
     * harmful change reaches few before it shows.
     *
     * @param gatherers in the order of their turn
     */
    public static List<List<String>> waves(List<String> gatherers) {
        var waves = new ArrayList<List<String>>();
        int waveSize = 1;
        int start = 0;
        while (start < gatherers.size()) {
            int end = Math.min(gatherers.size(), start + waveSize);
            waves.add(gatherers.subList(start, end));
            start += waveSize;
            waveSize *= 2;
        }
        return waves;
    }
}
