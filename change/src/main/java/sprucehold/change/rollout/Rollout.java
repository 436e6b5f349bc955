package sprucehold.change.rollout;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import sprucehold.change.rollout.RolloutState.GathererState;
import sprucehold.change.rollout.RolloutState.Phase;

/**
 * The state machine of a rollout, a staged (canary) deployment: a wave begins when every gatherer
 * of the wave before has confirmed the change. A gatherer that rejects it or rolls it back halts
 * the rollout, and each gatherer that accepted it is asked to revert. A gatherer that doesn't
 * answer is asked again and holds up its wave; it is never skipped, and never counted as anything
 * it isn't known to be. Requests are idempotent, as proposals carry the rollout's id.
 */
public final class Rollout {
    /** Unanswered requests to one gatherer before it is given up; a restart takes less. */
    private static final int MAX_REQUESTS = 60;

    private static final double REQUEST_INTERVAL_MS = 1000;

    private final Map<String, Integer> unansweredRequests = new HashMap<>();
    private RolloutState state;
    private double nextRequestMs = Double.NEGATIVE_INFINITY;
    private List<RolloutAction> actions = new ArrayList<>();

    /**
     * @param state a new one, or the one saved by a process that ended before the rollout did
     */
    public Rollout(RolloutState state) {
        this.state = state;
    }

    /** The state now. */
    public RolloutState state() {
        return state;
    }

    /** Whether nothing more is to be done. */
    public boolean finished() {
        return state.phase() == Phase.DONE || state.phase() == Phase.HALTED;
    }

    /**
     * Lets time pass; to be called about once a second.
     *
     * @param nowMs the time now in milliseconds, by any clock
     * @return what is to be done, in order
     */
    public List<RolloutAction> tick(double nowMs) {
        actions = new ArrayList<>();
        if (!finished() && nowMs >= nextRequestMs) {
            nextRequestMs = nowMs + REQUEST_INTERVAL_MS;
            request();
        }
        return actions;
    }

    /**
     * Takes a gatherer's answer.
     *
     * @param gatherer its address
     * @param answered its state; never {@link GathererState#NOT_PROPOSED} or {@link
     *     GathererState#PROPOSED}, which only the rollout sets
     * @param reason the gatherer's reason, if it rejected the change or rolled it back
     * @return what is to be done, in order
     */
    public List<RolloutAction> answered(String gatherer, GathererState answered, String reason) {
        actions = new ArrayList<>();
        GathererState before = state.gathererStates().get(gatherer);
        if (before == null || finished()) {
            return actions;
        }
        unansweredRequests.remove(gatherer);
        // An answer that crossed the request to revert is out of date.
        boolean accepted = answered == GathererState.WATCHED || answered == GathererState.CONFIRMED;
        if (before == GathererState.REVERTING && accepted) {
            return actions;
        }
        if (answered != before) {
            setGathererState(gatherer, answered);
            if (state.phase() == Phase.ROLLING && answered == GathererState.REJECTED) {
                halt(gatherer + " turned it down: " + reason);
            } else if (state.phase() == Phase.ROLLING && answered == GathererState.ROLLED_BACK) {
                halt(gatherer + " undid it: " + reason);
            }
        }
        advance();
        return actions;
    }

    private void request() {
        // Requests may replace the state; each gatherer's is read when its turn comes.
        for (String gatherer : state.gathererStates().keySet()) {
            switch (state.gathererStates().get(gatherer)) {
                case NOT_PROPOSED -> propose(gatherer);
                case PROPOSED -> repeat(gatherer, new RolloutAction.Propose(gatherer, state.id()));
                case WATCHED ->
                        repeat(gatherer, new RolloutAction.QueryStatus(gatherer, state.id()));
                case REVERTING -> repeat(gatherer, new RolloutAction.Revert(gatherer, state.id()));
                default -> {}
            }
        }
        advance();
    }

    private void propose(String gatherer) {
        if (state.phase() == Phase.ROLLING && currentWave().contains(gatherer)) {
            setGathererState(gatherer, GathererState.PROPOSED);
            actions.add(new RolloutAction.Propose(gatherer, state.id()));
        }
    }

    private void repeat(String gatherer, RolloutAction action) {
        if (unansweredRequests.merge(gatherer, 1, Integer::sum) <= MAX_REQUESTS) {
            actions.add(action);
        } else if (state.phase() == Phase.ROLLING) {
            halt(gatherer + " does not answer");
        } else {
            finish(Phase.HALTED);
        }
    }

    private List<String> currentWave() {
        return state.waves().get(state.wave());
    }

    private void setGathererState(String gatherer, GathererState gathererState) {
        var gathererStates = new TreeMap<>(state.gathererStates());
        gathererStates.put(gatherer, gathererState);
        setState(state.wave(), gathererStates, state.phase(), state.reason());
    }

    private void setState(
            int wave, SortedMap<String, GathererState> gathererStates, Phase phase, String reason) {
        state = new RolloutState(state.id(), state.waves(), wave, gathererStates, phase, reason);
        // Only the latest state has to be saved, and before any action that rests on it.
        actions.removeIf(RolloutAction.SaveState.class::isInstance);
        actions.add(0, new RolloutAction.SaveState(state));
    }

    private void halt(String reason) {
        var gathererStates = new TreeMap<>(state.gathererStates());
        gathererStates.replaceAll(
                (gatherer, before) -> mayHaveAccepted(before) ? GathererState.REVERTING : before);
        setState(state.wave(), gathererStates, Phase.REVERTING, reason);
        unansweredRequests.clear();
        actions.removeIf(RolloutAction.Propose.class::isInstance);
        actions.add(new RolloutAction.Report("halted: " + reason));
        for (String gatherer : reverting()) {
            actions.add(new RolloutAction.Revert(gatherer, state.id()));
        }
    }

    private static boolean mayHaveAccepted(GathererState gathererState) {
        return gathererState == GathererState.WATCHED
                || gathererState == GathererState.CONFIRMED
                || gathererState == GathererState.PROPOSED;
    }

    /** Gatherers that were asked to revert and have not answered, in order. */
    private List<String> reverting() {
        return state.gathererStates().entrySet().stream()
                .filter(entry -> entry.getValue() == GathererState.REVERTING)
                .map(Map.Entry::getKey)
                .toList();
    }

    private void advance() {
        if (state.phase() == Phase.REVERTING && reverting().isEmpty()) {
            finish(Phase.HALTED);
        } else if (state.phase() == Phase.ROLLING && waveIsConfirmed()) {
            int waves = state.waves().size();
            if (state.wave() == waves - 1) {
                finish(Phase.DONE);
            } else {
                int number = state.wave() + 1;
                actions.add(
                        new RolloutAction.Report(
                                "wave " + number + " of " + waves + " is confirmed"));
                setState(state.wave() + 1, state.gathererStates(), Phase.ROLLING, "");
            }
        }
    }

    private boolean waveIsConfirmed() {
        return currentWave().stream()
                .allMatch(
                        gatherer ->
                                state.gathererStates().get(gatherer) == GathererState.CONFIRMED);
    }

    private void finish(Phase phase) {
        setState(state.wave(), state.gathererStates(), phase, state.reason());
        actions.add(new RolloutAction.Report(phase == Phase.DONE ? doneReport() : haltedReport()));
    }

    private String doneReport() {
        return "all " + state.gathererStates().size() + " gatherers have confirmed it";
    }

    private String haltedReport() {
        List<String> unknown = reverting();
        return "ended: "
                + state.reason()
                + (unknown.isEmpty()
                        ? "; all others serve what they served before"
                        : "; not known of "
                                + String.join(", ", unknown)
                                + ", which have to be looked at");
    }
}
