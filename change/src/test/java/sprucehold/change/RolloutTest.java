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
import sprucehold.change.rollout.RolloutState;
import sprucehold.change.rollout.RolloutState.Phase;
import sprucehold.change.rollout.RolloutState.Standing;

public class RolloutTest {
    private static final List<String> FLEET = List.of("a", "b", "c", "d", "e");

    /**
     * Gatherers that take the change and confirm it, but for one that does something else; answers
     * get lost.
     */
    private static final class Fleet {
        final Map<String, Standing> really = new HashMap<>();
        final String odd;
        final Standing oddEnds;
        final Random loss;

        Fleet(String odd, Standing oddEnds, Random loss) {
            this.odd = odd;
            this.oddEnds = oddEnds;
            this.loss = loss;
        }

        /** What comes back, or null where nothing does. */
        Standing answer(Rollout.RolloutAction action) {
            if (action instanceof Rollout.RolloutAction.Propose propose) {
                return lost() ? null : took(propose.gatherer());
            } else if (action instanceof Rollout.RolloutAction.Ask ask) {
                if (lost()) {
                    return null;
                }
                Standing ends =
                        ask.gatherer().equals(odd) && oddEnds != null
                                ? oddEnds
                                : Standing.CONFIRMED;
                really.put(ask.gatherer(), ends);
                return lost() ? null : ends;
            } else if (action instanceof Rollout.RolloutAction.TakeBack back) {
                if (back.gatherer().equals(odd) && oddEnds == null || lost()) {
                    return null;
                }
                really.put(back.gatherer(), Standing.TAKEN_BACK);
                return lost() ? null : Standing.TAKEN_BACK;
            }
            return null;
        }

        private Standing took(String gatherer) {
            if (gatherer.equals(odd) && oddEnds == null) {
                return null;
            }
            if (gatherer.equals(odd) && oddEnds == Standing.TURNED_DOWN) {
                return Standing.TURNED_DOWN;
            }
            really.putIfAbsent(gatherer, Standing.WATCHED);
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
        for (int step = 0; step < 20_000 && !rollout.over(); step++) {
            var queue = new ArrayDeque<>(rollout.tick(now));
            now += 1000;
            while (!queue.isEmpty()) {
                Rollout.RolloutAction action = queue.poll();
                if (action instanceof Rollout.RolloutAction.Keep keep) {
                    kept = keep.state();
                    continue;
                }
                if (deaths != null && deaths.nextInt(6) == 0) {
                    // Killed between two actions: what was kept is all that is left.
                    rollout = new Rollout(kept);
                    queue.clear();
                    break;
                }
                Standing answer = fleet.answer(action);
                if (answer != null) {
                    String gatherer =
                            action instanceof Rollout.RolloutAction.Propose propose
                                    ? propose.gatherer()
                                    : action instanceof Rollout.RolloutAction.Ask ask
                                            ? ask.gatherer()
                                            : ((Rollout.RolloutAction.TakeBack) action).gatherer();
                    queue.addAll(rollout.answered(gatherer, answer, "so it is"));
                }
            }
        }
        assertTrue(rollout.over());
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
        assertTrue(end.standing().values().stream().allMatch(Standing.CONFIRMED::equals));
    }

    @Test
    public void changeUndoneByTheFirstReachesNobodyElse() {
        RolloutState end = play(new Fleet("a", Standing.UNDONE, null), null);
        assertEquals(end.phase(), Phase.HALTED);
        assertEquals(end.standing().get("a"), Standing.UNDONE);
        assertTrue(
                List.of("b", "c", "d", "e").stream()
                        .allMatch(g -> end.standing().get(g) == Standing.UNTOUCHED));
    }

    @Test
    public void changeThatFallsInTheSecondWaveIsTakenBackWhereItWasConfirmed() {
        var fleet = new Fleet("c", Standing.UNDONE, null);
        RolloutState end = play(fleet, null);
        assertEquals(end.phase(), Phase.HALTED);
        assertEquals(fleet.really.get("a"), Standing.TAKEN_BACK);
        assertEquals(end.standing().get("d"), Standing.UNTOUCHED);
    }

    @Test
    public void gathererThatNeverAnswersHaltsItAndIsNamedAsNotKnown() {
        RolloutState end = play(new Fleet("b", null, null), null);
        assertEquals(end.phase(), Phase.HALTED);
        assertEquals(end.standing().get("b"), Standing.TAKING_BACK);
        assertEquals(end.standing().get("a"), Standing.TAKEN_BACK);
    }

    @Test
    public void withAnswersLostAndTheToolDyingEveryGathererEndsInAKnownState() {
        for (int seed = 0; seed < 300; seed++) {
            Standing[] odd = {Standing.CONFIRMED, Standing.UNDONE, Standing.TURNED_DOWN};
            var fleet = new Fleet("c", odd[seed % 3], new Random(seed));
            RolloutState end = play(fleet, new Random(seed + 1000));
            for (String gatherer : FLEET) {
                Standing known = end.standing().get(gatherer);
                Standing really = fleet.really.get(gatherer);
                if (known == Standing.CONFIRMED
                        || known == Standing.TAKEN_BACK
                        || known == Standing.UNDONE) {
                    assertEquals(really, known, "seed " + seed + ", " + gatherer);
                } else if (known == Standing.UNTOUCHED) {
                    assertEquals(really, null, "seed " + seed + ", " + gatherer);
                }
            }
            assertEquals(
                    end.phase(),
                    odd[seed % 3] == Standing.CONFIRMED ? Phase.DONE : Phase.HALTED,
                    "seed " + seed);
        }
    }
}
