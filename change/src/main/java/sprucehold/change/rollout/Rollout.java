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
 * State machine of a rollout, a staged (canary) deployment. A wave begins when every gatherer of
 * the previous wave has confirmed the change. If a gatherer rejects the change or rolls it back,
 * the rollout is halted, and each gatherer that may have accepted the change is asked to revert it.
 * A request to a gatherer that doesn't answer is repeated, and its wave waits for the answer. After
 * a limited number of unanswered requests the rollout is halted. Such a gatherer is never skipped,
 * and no state is assumed that the gatherer has not reported. Requests are idempotent, as proposals
 * carry the rollout's id.
 */
public final class Rollout {
    /**
     * Number of unanswered requests to one gatherer before it is given up. At one request per
     * second this is longer than a restart of a gatherer takes.
     */
    private static final int MAX_REQUESTS = 60;

    private static final double REQUEST_INTERVAL_MS = 1000;

    private final Map<String, Integer> unansweredRequests = new HashMap<>();
    private RolloutState state;
    private double nextRequestMs = Double.NEGATIVE_INFINITY;
    private List<RolloutAction> actions = new ArrayList<>();

    /**
     * @param state the state of a new rollout, or the state saved by a process that ended before
     *     the rollout was finished
     */
    public Rollout(RolloutState state) {
        this.state = state;
    }

    /** Returns the current state. */
    public RolloutState state() {
        return state;
    }

    /** Returns whether the rollout is over, so that no action follows. */
    public boolean finished() {
        return state.phase() == Phase.DONE || state.phase() == Phase.HALTED;
    }

    /**
     * Sends due requests; must be called about once a second.
     *
     * @param nowMs the current time in milliseconds, by any clock
     * @return the actions to carry out, in order
     */
    public List<RolloutAction> tick(double nowMs) {
        actions = new ArrayList<>();
        if (!finished() && nowMs >= nextRequestMs) {
            nextRequestMs = nowMs + REQUEST_INTERVAL_MS;
            sendRequests();
        }
        return actions;
    }

    /**
     * Processes a gatherer's answer.
     *
     * @param gatherer its address
     * @param newState the state that it reports; never {@link GathererState#NOT_PROPOSED} or {@link
     *     GathererState#PROPOSED}, which only the rollout sets
     * @param reason the gatherer's reason, if it rejected the change or rolled it back
     * @return the actions to carry out, in order
     */
    public List<RolloutAction> handleAnswer(
            String gatherer, GathererState newState, String reason) {
        actions = new ArrayList<>();
        GathererState before = state.gathererStates().get(gatherer);
        if (before == null || finished()) {
            return actions;
        }
        unansweredRequests.remove(gatherer);
        // The gatherer sent this answer before it received the request to revert, so the answer
        // is out of date.
        boolean accepted = newState == GathererState.WATCHED || newState == GathererState.CONFIRMED;
        if (before == GathererState.REVERTING && accepted) {
            return actions;
        }
        if (newState != before) {
            setGathererState(gatherer, newState);
            if (state.phase() == Phase.ROLLING && newState == GathererState.REJECTED) {
                halt(gatherer + " turned it down: " + reason);
            } else if (state.phase() == Phase.ROLLING && newState == GathererState.ROLLED_BACK) {
                halt(gatherer + " undid it: " + reason);
            }
        }
        advance();
        return actions;
    }

    private void sendRequests() {
        // A request may replace the state, so each gatherer's state is read before its request.
        for (String gatherer : state.gathererStates().keySet()) {
            switch (state.gathererStates().get(gatherer)) {
                case NOT_PROPOSED -> propose(gatherer);
                case PROPOSED -> resend(gatherer, new RolloutAction.Propose(gatherer, state.id()));
                case WATCHED ->
                        resend(gatherer, new RolloutAction.QueryStatus(gatherer, state.id()));
                case REVERTING -> resend(gatherer, new RolloutAction.Revert(gatherer, state.id()));
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

    private void resend(String gatherer, RolloutAction action) {
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
        // Only the latest state has to be saved, before any action that depends on it.
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

    /** Returns the gatherers that were asked to revert and have not answered, in order. */
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
        List<String> unanswered = reverting();
        return "ended: "
                + state.reason()
                + (unanswered.isEmpty()
                        ? "; all others serve what they served before"
                        : "; not known of "
                                + String.join(", ", unanswered)
                                + ", which have to be looked at");
    }
}
