package sprucehold.change.rollout;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import sprucehold.change.rollout.RolloutState.Phase;
import sprucehold.change.rollout.RolloutState.Standing;

/**
 * Brings a change to many gatherers, wave by wave: the next wave begins when all of the one before
 * have confirmed it. One that turns it down or undoes it halts the rollout, and whoever has taken
 * it is asked to go back. A gatherer that does not answer is asked again, and holds its wave up; it
 * is never passed over, and never counted as what it isn't known to be. Asking twice is harmless:
 * proposals carry the rollout's id.
 */
public final class Rollout {
    /** Asked again so often; a gatherer that restarts is back within it, at one ask a second. */
    private static final int MOST_ASKS = 60;

    private static final double ASK_EVERY_MS = 1000;

    private RolloutState state;
    private final Map<String, Integer> asks = new HashMap<>();
    private double nextAskMs = Double.NEGATIVE_INFINITY;
    private List<RolloutAction> todo = new ArrayList<>();

    /** What a rollout wants done. */
    public sealed interface RolloutAction {
        /** The state is to be kept before what follows is done. */
        record Keep(RolloutState state) implements RolloutAction {}

        /** The change is proposed to the gatherer, or proposed again by the same id. */
        record Propose(String gatherer, String id) implements RolloutAction {}

        /** The gatherer is asked where the change stands. */
        record Ask(String gatherer, String id) implements RolloutAction {}

        /** The gatherer is to go back to what it served before. */
        record TakeBack(String gatherer, String id) implements RolloutAction {}

        /** A line for the operator. */
        record Tell(String line) implements RolloutAction {}
    }

    /**
     * @param state a new one, or one that was kept when the tool died
     */
    public Rollout(RolloutState state) {
        this.state = state;
    }

    public RolloutState state() {
        return state;
    }

    /** Whether nothing more is to be done. */
    public boolean over() {
        return state.phase() == Phase.DONE || state.phase() == Phase.HALTED;
    }

    /** Lets time pass; to be called about once a second. */
    public List<RolloutAction> tick(double nowMs) {
        todo = new ArrayList<>();
        if (!over() && nowMs >= nextAskMs) {
            nextAskMs = nowMs + ASK_EVERY_MS;
            ask();
        }
        return todo;
    }

    /**
     * A gatherer told where the change stands with it.
     *
     * @param now never {@link Standing#UNTOUCHED} or {@link Standing#ASKED}: those are the
     *     rollout's own
     * @param why its words, for one that turned it down or undid it
     */
    public List<RolloutAction> answered(String gatherer, Standing now, String why) {
        todo = new ArrayList<>();
        Standing before = state.standing().get(gatherer);
        if (before == null || over()) {
            return todo;
        }
        asks.remove(gatherer);
        // An answer that was under way when the gatherer was asked back tells of what was.
        if (before == Standing.TAKING_BACK
                && (now == Standing.WATCHED || now == Standing.CONFIRMED)) {
            return todo;
        }
        if (now != before) {
            set(gatherer, now);
            if (state.phase() == Phase.ROLLING
                    && (now == Standing.TURNED_DOWN || now == Standing.UNDONE)) {
                halt(
                        gatherer
                                + (now == Standing.UNDONE ? " undid it: " : " turned it down: ")
                                + why);
            }
        }
        advance();
        return todo;
    }

    private void ask() {
        for (String gatherer : state.standing().keySet()) {
            switch (state.standing().get(gatherer)) {
                case UNTOUCHED -> {
                    if (state.phase() == Phase.ROLLING
                            && state.waves().get(state.wave()).contains(gatherer)) {
                        set(gatherer, Standing.ASKED);
                        todo.add(new RolloutAction.Propose(gatherer, state.id()));
                    }
                }
                case ASKED -> again(gatherer, new RolloutAction.Propose(gatherer, state.id()));
                case WATCHED -> again(gatherer, new RolloutAction.Ask(gatherer, state.id()));
                case TAKING_BACK ->
                        again(gatherer, new RolloutAction.TakeBack(gatherer, state.id()));
                default -> {}
            }
        }
        advance();
    }

    private void again(String gatherer, RolloutAction action) {
        if (asks.merge(gatherer, 1, Integer::sum) <= MOST_ASKS) {
            todo.add(action);
        } else if (state.phase() == Phase.ROLLING) {
            halt(gatherer + " does not answer");
        } else {
            end(Phase.HALTED);
        }
    }

    private void set(String gatherer, Standing now) {
        var standing = new TreeMap<>(state.standing());
        standing.put(gatherer, now);
        keep(state.wave(), standing, state.phase(), state.why());
    }

    private void keep(int wave, SortedMap<String, Standing> standing, Phase phase, String why) {
        state = new RolloutState(state.id(), state.waves(), wave, standing, phase, why);
        // Only the last state of a step need be kept, and before anything is done on it.
        todo.removeIf(RolloutAction.Keep.class::isInstance);
        todo.add(0, new RolloutAction.Keep(state));
    }

    private void halt(String why) {
        var standing = new TreeMap<>(state.standing());
        standing.replaceAll(
                (gatherer, now) ->
                        now == Standing.WATCHED
                                        || now == Standing.CONFIRMED
                                        || now == Standing.ASKED
                                ? Standing.TAKING_BACK
                                : now);
        keep(state.wave(), standing, Phase.TAKING_BACK, why);
        asks.clear();
        todo.removeIf(RolloutAction.Propose.class::isInstance);
        todo.add(new RolloutAction.Tell("halted: " + why));
        state.standing()
                .forEach(
                        (gatherer, now) -> {
                            if (now == Standing.TAKING_BACK) {
                                todo.add(new RolloutAction.TakeBack(gatherer, state.id()));
                            }
                        });
    }

    private void advance() {
        if (state.phase() == Phase.TAKING_BACK
                && state.standing().values().stream()
                        .noneMatch(now -> now == Standing.TAKING_BACK)) {
            end(Phase.HALTED);
        } else if (state.phase() == Phase.ROLLING
                && state.waves().get(state.wave()).stream()
                        .allMatch(
                                gatherer -> state.standing().get(gatherer) == Standing.CONFIRMED)) {
            if (state.wave() == state.waves().size() - 1) {
                end(Phase.DONE);
            } else {
                todo.add(
                        new RolloutAction.Tell(
                                "wave "
                                        + (state.wave() + 1)
                                        + " of "
                                        + state.waves().size()
                                        + " is confirmed"));
                keep(state.wave() + 1, state.standing(), Phase.ROLLING, "");
            }
        }
    }

    private void end(Phase phase) {
        keep(state.wave(), state.standing(), phase, state.why());
        var unknown =
                state.standing().entrySet().stream()
                        .filter(of -> of.getValue() == Standing.TAKING_BACK)
                        .map(Map.Entry::getKey)
                        .toList();
        todo.add(
                new RolloutAction.Tell(
                        phase == Phase.DONE
                                ? "all " + state.standing().size() + " gatherers have confirmed it"
                                : "ended: "
                                        + state.why()
                                        + (unknown.isEmpty()
                                                ? "; all others serve " + "what they served before"
                                                : "; not known of "
                                                        + String.join(", ", unknown)
                                                        + ", which have to be looked at")));
    }
}
