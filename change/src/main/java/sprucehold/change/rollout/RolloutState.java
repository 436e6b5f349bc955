package sprucehold.change.rollout;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * All that a rollout knows.
 *
 * @param id its own id; a gatherer tells by it that a proposal came before
 * @param waves the gatherers of each wave, in order
 * @param wave the wave that is under way, from 0
 * @param standing what is known of each gatherer
 * @param phase what the rollout is doing
 * @param why why it was halted; empty while it was not
 */
public record RolloutState(
        String id,
        List<List<String>> waves,
        int wave,
        SortedMap<String, Standing> standing,
        Phase phase,
        String why) {

    /** What is known of one gatherer. */
    public enum Standing {
        /** Not asked yet: it serves what it served. */
        UNTOUCHED,
        /** Asked, and no answer yet: it may have taken the change or not, and is asked which. */
        ASKED,
        /** It has taken the change and watches it. */
        WATCHED,
        CONFIRMED,
        /** It turned the change down and serves what it served. */
        TURNED_DOWN,
        /** It undid the change by itself. */
        UNDONE,
        /** Asked to go back, and no answer yet. */
        TAKING_BACK,
        /** It went back when asked to. */
        TAKEN_BACK
    }

    /** What the rollout is doing. */
    public enum Phase {
        ROLLING,
        TAKING_BACK,
        DONE,
        HALTED
    }

    public RolloutState {
        waves = waves.stream().map(List::copyOf).toList();
        standing = Collections.unmodifiableSortedMap(new TreeMap<>(standing));
    }

    /** One not yet begun. */
    public static RolloutState of(String id, List<List<String>> waves) {
        var standing = new TreeMap<String, Standing>();
        waves.forEach(
                wave ->
                        wave.forEach(
                                gatherer -> {
                                    if (standing.put(gatherer, Standing.UNTOUCHED) != null) {
                                        throw new IllegalArgumentException(
                                                "gatherer " + gatherer + " stands twice");
                                    }
                                }));
        return new RolloutState(id, waves, 0, standing, Phase.ROLLING, "");
    }

    /**
     * Waves for a fleet: one gatherer first, then twice as many each time, so that a harm that
     * shows is met by few.
     *
     * @param gatherers in the order in which they take their turn
     */
    public static List<List<String>> waves(List<String> gatherers) {
        var waves = new ArrayList<List<String>>();
        int size = 1;
        for (int at = 0; at < gatherers.size(); at += size, size *= 2) {
            waves.add(gatherers.subList(at, Math.min(gatherers.size(), at + size)));
        }
        return waves;
    }
}
