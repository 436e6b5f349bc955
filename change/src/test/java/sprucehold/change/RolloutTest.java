package sprucehold.change;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.testng.annotations.Test;
import sprucehold.change.rollout.Rollout;
import sprucehold.change.rollout.RolloutAction;
import sprucehold.change.rollout.RolloutState;
import sprucehold.change.rollout.RolloutState.GathererState;
import sprucehold.change.rollout.RolloutState.Phase;

public class RolloutTest {
    private static final List<String> FLEET = List.of("a", "b", "c", "d", "e");

    /**
     * Gatherers that accept and confirm the change, except for one that deviates. The deviating
     * gatherer reaches another state, or never answers if that state is null. Answers may get lost.
     */
    private static final class Fleet {
        final Map<String, GathererState> actual = new HashMap<>();
        final String deviating;
        final GathererState deviatingState;
        final Random loss;

        Fleet(String deviating, GathererState deviatingState, Random loss) {
            this.deviating = deviating;
            this.deviatingState = deviatingState;
            this.loss = loss;
        }

        /** Returns the answer to a request, or null if no answer arrives. */
        GathererState answer(RolloutAction action) {
            if (action instanceof RolloutAction.Propose propose) {
                return lost() ? null : accept(propose.gatherer());
            } else if (action instanceof RolloutAction.QueryStatus query) {
                if (lost()) {
                    return null;
                }
                GathererState newState =
                        query.gatherer().equals(deviating) && deviatingState != null
                                ? deviatingState
                                : GathererState.CONFIRMED;
                actual.put(query.gatherer(), newState);
                return lost() ? null : newState;
            } else if (action instanceof RolloutAction.Revert revert) {
                if ((revert.gatherer().equals(deviating) && deviatingState == null) || lost()) {
                    return null;
                }
                actual.put(revert.gatherer(), GathererState.REVERTED);
                return lost() ? null : GathererState.REVERTED;
            }
            return null;
        }

        private GathererState accept(String gatherer) {
            if (gatherer.equals(deviating) && deviatingState == null) {
                return null;
            }
            if (gatherer.equals(deviating) && deviatingState == GathererState.REJECTED) {
                return GathererState.REJECTED;
            }
            actual.putIfAbsent(gatherer, GathererState.WATCHED);
            return lost() ? null : actual.get(gatherer);
        }

        private boolean lost() {
            return loss != null && loss.nextInt(3) == 0;
        }
    }

    /**
     * Runs the rollout to its end. The tool crashes at some steps and resumes from the saved state.
     */
    private static RolloutState run(Fleet fleet, Random crashes) {
        var rollout = new Rollout(RolloutState.of("r1", RolloutState.waves(FLEET)));
        RolloutState saved = rollout.state();
        double now = 0;
        for (int step = 0; step < 20_000 && !rollout.finished(); step++) {
            var queue = new ArrayDeque<>(rollout.tick(now));
            now += 1000;
            while (!queue.isEmpty()) {
                RolloutAction action = queue.poll();
                if (action instanceof RolloutAction.SaveState save) {
                    saved = save.state();
                    continue;
                }
                if (crashes != null && crashes.nextInt(6) == 0) {
                    // The tool is killed between two actions, and only the saved state remains.
                    rollout = new Rollout(saved);
                    queue.clear();
                    break;
                }
                GathererState answer = fleet.answer(action);
                if (answer != null) {
                    String gatherer =
                            action instanceof RolloutAction.Propose propose
                                    ? propose.gatherer()
                                    : action instanceof RolloutAction.QueryStatus query
                                            ? query.gatherer()
                                            : ((RolloutAction.Revert) action).gatherer();
                    queue.addAll(rollout.handleAnswer(gatherer, answer, "reason"));
                }
            }
        }
        assertTrue(rollout.finished());
        return rollout.state();
    }

    @Test
    public void firstWaveHasOneGathererAndEachFurtherWaveTwiceAsMany() {
        assertEquals(
                RolloutState.waves(FLEET),
                List.of(List.of("a"), List.of("b", "c"), List.of("d", "e")));
    }

    @Test
    public void harmlessChangeIsConfirmedByAllGatherers() {
        RolloutState end = run(new Fleet("none", null, null), null);
        assertEquals(end.phase(), Phase.DONE);
        assertTrue(
                end.gathererStates().values().stream().allMatch(GathererState.CONFIRMED::equals));
    }

    @Test
    public void changeRolledBackInTheFirstWaveIsProposedToNoOtherGatherer() {
        RolloutState end = run(new Fleet("a", GathererState.ROLLED_BACK, null), null);
        assertEquals(end.phase(), Phase.HALTED);
        assertEquals(end.gathererStates().get("a"), GathererState.ROLLED_BACK);
        assertTrue(
                List.of("b", "c", "d", "e").stream()
                        .allMatch(g -> end.gathererStates().get(g) == GathererState.NOT_PROPOSED));
    }

    @Test
    public void changeRolledBackInTheSecondWaveIsRevertedWhereItWasConfirmed() {
        var fleet = new Fleet("c", GathererState.ROLLED_BACK, null);
        RolloutState end = run(fleet, null);
        assertEquals(end.phase(), Phase.HALTED);
        assertEquals(fleet.actual.get("a"), GathererState.REVERTED);
        assertEquals(end.gathererStates().get("d"), GathererState.NOT_PROPOSED);
    }

    @Test
    public void gathererThatNeverAnswersHaltsTheRolloutAndStaysReverting() {
        RolloutState end = run(new Fleet("b", null, null), null);
        assertEquals(end.phase(), Phase.HALTED);
        assertEquals(end.gathererStates().get("b"), GathererState.REVERTING);
        assertEquals(end.gathererStates().get("a"), GathererState.REVERTED);
    }

    @Test
    public void recordedStatesAreTrueDespiteLostAnswersAndCrashesOfTheTool() {
        for (int seed = 0; seed < 300; seed++) {
            GathererState[] finalStates = {
                GathererState.CONFIRMED, GathererState.ROLLED_BACK, GathererState.REJECTED
            };
            var fleet = new Fleet("c", finalStates[seed % 3], new Random(seed));
            RolloutState end = run(fleet, new Random(seed + 1000));
            for (String gatherer : FLEET) {
                GathererState known = end.gathererStates().get(gatherer);
                GathererState actual = fleet.actual.get(gatherer);
                if (known == GathererState.CONFIRMED
                        || known == GathererState.REVERTED
                        || known == GathererState.ROLLED_BACK) {
                    assertEquals(actual, known, "seed " + seed + ", " + gatherer);
                } else if (known == GathererState.NOT_PROPOSED) {
                    assertEquals(actual, null, "seed " + seed + ", " + gatherer);
                }
            }
            assertEquals(
                    end.phase(),
                    finalStates[seed % 3] == GathererState.CONFIRMED ? Phase.DONE : Phase.HALTED,
                    "seed " + seed);
        }
    }
}
