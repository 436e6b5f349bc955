package sprucehold.change.rollout;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * Complete state of a rollout, as a value that is saved after each step and can be resumed from.
 * Its JSON form is the rollout's state file; names in annotations are those of the file.
 *
 * @param id id of the rollout, by which a gatherer recognises a repeated proposal
 * @param waves the gatherers of each wave, in order
 * @param wave index of the current wave, from 0
 * @param gathererStates last known state of each gatherer
 * @param phase current phase of the rollout
 * @param reason reason why the rollout was halted; empty unless it was halted
 */
public record RolloutState(
        String id,
        List<List<String>> waves,
        int wave,
        @JsonProperty("standing") SortedMap<String, GathererState> gathererStates,
        Phase phase,
        @JsonProperty("why") String reason) {

    /** Last known state of one gatherer. */
    public enum GathererState {
        /** The change was not yet proposed to the gatherer, which serves its former version. */
        @JsonProperty("UNTOUCHED")
        NOT_PROPOSED("UNTOUCHED"),
        /**
         * The change was proposed and the gatherer has not answered. Whether it accepted the change
         * is unknown, so the proposal is repeated.
         */
        @JsonProperty("ASKED")
        PROPOSED("ASKED"),
        /** The gatherer accepted the change and watches it. */
        @JsonProperty("WATCHED")
        WATCHED("WATCHED"),
        /** The gatherer confirmed the change. */
        @JsonProperty("CONFIRMED")
        CONFIRMED("CONFIRMED"),
        /** The gatherer rejected the change and serves its former version. */
        @JsonProperty("TURNED_DOWN")
        REJECTED("TURNED_DOWN"),
        /** The gatherer rolled the change back without a request from the rollout. */
        @JsonProperty("UNDONE")
        ROLLED_BACK("UNDONE"),
        /** The gatherer was asked to revert the change and has not answered. */
        @JsonProperty("TAKING_BACK")
        REVERTING("TAKING_BACK"),
        /** The gatherer reverted the change on request. */
        @JsonProperty("TAKEN_BACK")
        REVERTED("TAKEN_BACK");

        private final String storedName;

        GathererState(String storedName) {
            this.storedName = storedName;
        }

        /** Returns the name in state files and in the output of the command line. */
        public String storedName() {
            return storedName;
        }
    }

    /** Phase of a rollout. */
    public enum Phase {
        /** The change is proposed to the gatherers, wave by wave. */
        @JsonProperty("ROLLING")
        ROLLING,
        /**
         * The rollout was halted, and gatherers that may have accepted the change are asked to
         * revert it.
         */
        @JsonProperty("TAKING_BACK")
        REVERTING,
        /** The rollout is over: every gatherer confirmed the change. */
        @JsonProperty("DONE")
        DONE,
        /**
         * The rollout is over: it was halted, and every revert request was answered or given up.
         */
        @JsonProperty("HALTED")
        HALTED
    }

    /** Copies the collections. */
    public RolloutState {
        waves = waves.stream().map(List::copyOf).toList();
        gathererStates = Collections.unmodifiableSortedMap(new TreeMap<>(gathererStates));
    }

    /**
     * Returns the state of a rollout that has not begun.
     *
     * @throws IllegalArgumentException if a gatherer is listed twice
     */
    public static RolloutState of(String id, List<List<String>> waves) {
        var states = new TreeMap<String, GathererState>();
        for (List<String> wave : waves) {
            for (String gatherer : wave) {
                if (states.put(gatherer, GathererState.NOT_PROPOSED) != null) {
                    throw new IllegalArgumentException("gatherer " + gatherer + " is listed twice");
                }
            }
        }
        return new RolloutState(id, waves, 0, states, Phase.ROLLING, "");
    }

    /**
     * Splits the gatherers into waves. The first wave is one gatherer, and each further wave is
     * twice as large as the one before, so that a harmful change is detected while few gatherers
     * have it.
     *
     * @param gatherers the gatherers, in the order of the rollout
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
