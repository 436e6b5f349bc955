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
     * Gatherers that take the change and confirm it, but for one that does something else; answers
     * get lost.
     */
    private static final class Fleet {
        final Map<String, GathererState> really = new HashMap<>();
        final String odd;
        final GathererState oddEnds;
        final Random loss;

        Fleet(String odd, GathererState oddEnds, Random loss) {
            this.odd = odd;
            this.oddEnds = oddEnds;
            this.loss = loss;
        }

        /** What comes back, or null where nothing does. */
        GathererState answer(RolloutAction action) {
            if (action instanceof RolloutAction.Propose propose) {
                return lost() ? null : took(propose.gatherer());
            } else if (action instanceof RolloutAction.QueryStatus ask) {
                if (lost()) {
                    return null;
                }
                GathererState ends =
                        ask.gatherer().equals(odd) && oddEnds != null
                                ? oddEnds
                                : GathererState.CONFIRMED;
                really.put(ask.gatherer(), ends);
                return lost() ? null : ends;
            } else if (action instanceof RolloutAction.Revert back) {
                if ((back.gatherer().equals(odd) && oddEnds == null) || lost()) {
                    return null;
                }
                really.put(back.gatherer(), GathererState.REVERTED);
                return lost() ? null : GathererState.REVERTED;
            }
            return null;
        }

        private GathererState took(String gatherer) {
            if (gatherer.equals(odd) && oddEnds == null) {
                return null;
            }
            if (gatherer.equals(odd) && oddEnds == GathererState.REJECTED) {
                return GathererState.REJECTED;
            }
            really.putIfAbsent(gatherer, GathererState.WATCHED);
            return lost() ? null : really.get(gatherer);
        }

        private boolean lost() {
            return loss != null && loss.nextInt(3) == 0;
        }
    }

    /** Plays to the end; the tool dies at some steps and takes the kept state up again. */
    private static RolloutState play(Fleet fleet, Random deaths) {
        var rollout = new Rollout(RolloutState.of("r1", RolloutState.waves(FLEET)));
        RolloutState kept = rollout.state();
        double now = 0;
        for (int step = 0; step < 20_000 && !rollout.finished(); step++) {
            var queue = new ArrayDeque<>(rollout.tick(now));
            now += 1000;
            while (!queue.isEmpty()) {
                RolloutAction action = queue.poll();
                if (action instanceof RolloutAction.SaveState keep) {
                    kept = keep.state();
                    continue;
                }
                if (deaths != null && deaths.nextInt(6) == 0) {
                    // Killed between two actions: what was kept is all that is left.
                    rollout = new Rollout(kept);
                    queue.clear();
                    break;
                }
                GathererState answer = fleet.answer(action);
                if (answer != null) {
                    String gatherer =
                            action instanceof RolloutAction.Propose propose
                                    ? propose.gatherer()
                                    : action instanceof RolloutAction.QueryStatus ask
                                            ? ask.gatherer()
                                            : ((RolloutAction.Revert) action).gatherer();
                    queue.addAll(rollout.answered(gatherer, answer, "so it is"));
                }
            }
        }
        assertTrue(rollout.finished());
        return rollout.state();
    }

    @Test
    public void firstWaveIsOneAndEachNextTwiceAsMany() {
        assertEquals(
                RolloutState.waves(FLEET),
                List.of(List.of("a"), List.of("b", "c"), List.of("d", "e")));
    }

    @Test
    public void soundChangeReachesAll() {
        RolloutState end = play(new Fleet("none", null, null), null);
        assertEquals(end.phase(), Phase.DONE);
        assertTrue(
                end.gathererStates().values().stream().allMatch(GathererState.CONFIRMED::equals));
    }

    @Test
    public void changeRolledBackByTheFirstReachesNobodyElse() {
        RolloutState end = play(new Fleet("a", GathererState.ROLLED_BACK, null), null);
        assertEquals(end.phase(), Phase.HALTED);
        assertEquals(end.gathererStates().get("a"), GathererState.ROLLED_BACK);
        assertTrue(
                List.of("b", "c", "d", "e").stream()
                        .allMatch(g -> end.gathererStates().get(g) == GathererState.NOT_PROPOSED));
    }

    @Test
    public void changeRolledBackInTheSecondWaveIsRevertedWhereItWasConfirmed() {
        var fleet = new Fleet("c", GathererState.ROLLED_BACK, null);
        RolloutState end = play(fleet, null);
        assertEquals(end.phase(), Phase.HALTED);
        assertEquals(fleet.really.get("a"), GathererState.REVERTED);
        assertEquals(end.gathererStates().get("d"), GathererState.NOT_PROPOSED);
    }

    @Test
    public void gathererThatNeverAnswersHaltsTheRolloutAndIsReported() {
        RolloutState end = play(new Fleet("b", null, null), null);
        assertEquals(end.phase(), Phase.HALTED);
        assertEquals(end.gathererStates().get("b"), GathererState.REVERTING);
        assertEquals(end.gathererStates().get("a"), GathererState.REVERTED);
    }

    @Test
    public void withAnswersLostAndTheToolDyingEveryGathererEndsInAKnownState() {
        for (int seed = 0; seed < 300; seed++) {
            GathererState[] odd = {
                GathererState.CONFIRMED, GathererState.ROLLED_BACK, GathererState.REJECTED
            };
            var fleet = new Fleet("c", odd[seed % 3], new Random(seed));
            RolloutState end = play(fleet, new Random(seed + 1000));
            for (String gatherer : FLEET) {
                GathererState known = end.gathererStates().get(gatherer);
                GathererState really = fleet.really.get(gatherer);
                if (known == GathererState.CONFIRMED
                        || known == GathererState.REVERTED
                        || known == GathererState.ROLLED_BACK) {
                    assertEquals(really, known, "seed " + seed + ", " + gatherer);
                } else if (known == GathererState.NOT_PROPOSED) {
                    assertEquals(really, null, "seed " + seed + ", " + gatherer);
                }
            }
            assertEquals(
                    end.phase(),
                    odd[seed % 3] == GathererState.CONFIRMED ? Phase.DONE : Phase.HALTED,
                    "seed " + seed);
        }
    }
}
