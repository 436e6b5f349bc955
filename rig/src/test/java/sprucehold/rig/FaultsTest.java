package sprucehold.rig;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import org.apache.commons.rng.simple.RandomSource;
import org.testng.annotations.Test;
import sprucehold.rig.fault.FaultSchedule;
import sprucehold.rig.fault.LinkConditions;
import sprucehold.rig.fault.LinkFaults;
import sprucehold.rig.link.Shaper;
import sprucehold.rig.plan.Plan;
import sprucehold.rig.script.Fault;
import sprucehold.rig.shrink.Shrinker;

/**
 * Tests the schedule of faults, their combined effect on a link, and the shrinking of failing
 * scripts.
 */
public class FaultsTest {
    private static final double NEVER = Double.POSITIVE_INFINITY;

    private static List<String> describe(List<FaultSchedule.Change> changes) {
        return changes.stream()
                .map(
                        change ->
                                change.fault().fault().name()
                                        + (change.begins() ? " begins" : " ends"))
                .toList();
    }

    private static Plan.TargetedFault triggered(
            String name, Fault.Trigger trigger, double after, double lasts) {
        return new Plan.TargetedFault(
                new Fault(
                        name,
                        Fault.Kind.PAUSE,
                        List.of("g"),
                        List.of(),
                        0,
                        after,
                        trigger,
                        lasts,
                        0,
                        Fault.Mode.SILENT,
                        false,
                        List.of()),
                List.of("g"),
                List.of());
    }

    @Test
    public void faultsBeginAndEndInTheOrderOfTheirTimesEvenIfPolledLate() {
        var schedule =
                new FaultSchedule(
                        List.of(
                                Scripts.target(Scripts.fault("a", Fault.Kind.STALL, 1, 2, 0), "s"),
                                Scripts.target(Scripts.fault("b", Fault.Kind.FULL, 2, 0.5, 0), "s"),
                                triggered("c", new Fault.Trigger("b", "", 0), 0.25, NEVER),
                                triggered("d", new Fault.Trigger("", "g", 3), 1, 1)));
        assertEquals(describe(schedule.poll(0.9)), List.of());
        assertEquals(schedule.nextS(), 1.0);
        assertEquals(
                describe(schedule.poll(10)),
                List.of("a begins", "b begins", "c begins", "b ends", "a ends"));
        assertTrue(schedule.needsOpenAttempts());
        schedule.recordOpenAttempts(11, "h", 9);
        schedule.recordOpenAttempts(11, "g", 2);
        assertEquals(schedule.nextS(), NEVER);
        schedule.recordOpenAttempts(12, "g", 3);
        schedule.recordOpenAttempts(12, "g", 4);
        assertFalse(schedule.needsOpenAttempts());
        assertEquals(describe(schedule.poll(20)), List.of("d begins", "d ends"));
        assertEquals(schedule.active().size(), 1);
    }

    private static FaultSchedule.Change change(boolean begins, Plan.TargetedFault fault) {
        return new FaultSchedule.Change(0, begins, fault);
    }

    private static Plan.TargetedFault link(
            Fault.Kind kind, double amount, Fault.Mode mode, boolean oneWay) {
        return new Plan.TargetedFault(
                new Fault(
                        kind + " " + amount + mode,
                        kind,
                        List.of(),
                        List.of(),
                        0,
                        0,
                        null,
                        1,
                        amount,
                        mode,
                        oneWay,
                        List.of()),
                List.of("g"),
                List.of("s"));
    }

    @Test
    public void linkFaultsAddUpAndOneWayFaultsLeaveTheOtherDirectionUnchanged() {
        var faults = new LinkFaults();
        var slow = link(Fault.Kind.DELAY, 30, Fault.Mode.SILENT, false);
        faults.change(change(true, slow));
        faults.change(change(true, link(Fault.Kind.DELAY, 12, Fault.Mode.SILENT, true)));
        faults.change(change(true, link(Fault.Kind.CUT, 0, Fault.Mode.RESET, true)));
        faults.change(change(true, link(Fault.Kind.CUT, 0, Fault.Mode.SILENT, true)));
        assertEquals(faults.conditions("g", "s").delayMs(), 42.0);
        assertEquals(faults.conditions("g", "s").cut(), Fault.Mode.RESET);
        assertEquals(
                faults.conditions("s", "g"),
                new LinkConditions(30, NEVER, NEVER, null, false, 0, 0, 0));
        assertEquals(faults.conditions("g", "t"), LinkConditions.NO_FAULTS);
        faults.change(change(false, slow));
        assertEquals(faults.conditions("s", "g"), LinkConditions.NO_FAULTS);
        assertTrue(faults.hasFaults("s", "g"));
    }

    private static Shaper<Integer> shaper(LinkFaults faults) {
        return new Shaper<>(faults, "g", "s", RandomSource.SPLIT_MIX_64.create(1));
    }

    @Test
    public void messagesPassInOrderAndNotBeforeDelayAndRateAllow() {
        var faults = new LinkFaults();
        var slow = link(Fault.Kind.DELAY, 20, Fault.Mode.SILENT, true);
        var narrow = link(Fault.Kind.RATE, 1000, Fault.Mode.SILENT, true);
        faults.change(change(true, slow));
        var shaper = shaper(faults);
        for (int i = 0; i < 100; i++) {
            shaper.push(i, 10, i);
        }
        var delivered = new ArrayList<Integer>();
        for (double now = 0; now < 300; now++) {
            for (int message : shaper.due(now)) {
                assertTrue(now >= message + 20, message + " at " + now);
                delivered.add(message);
            }
        }
        assertEquals(delivered.size(), 100);
        assertEquals(delivered, delivered.stream().sorted().toList());
        faults.change(change(false, slow));
        faults.change(change(true, narrow));
        shaper.push(1000, 500, 1);
        shaper.push(1000, 500, 2);
        assertEquals(shaper.due(1499), List.of());
        assertEquals(shaper.due(1500), List.of(1));
        assertEquals(shaper.due(2000), List.of(2));
    }

    @Test
    public void aCutHoldsMessagesBackUntilItEndsAndAHalfOpenConnectionNeverDelivers() {
        var faults = new LinkFaults();
        var cut = link(Fault.Kind.CUT, 0, Fault.Mode.SILENT, true);
        var halfOpen = link(Fault.Kind.HALF_OPEN, 0, Fault.Mode.SILENT, true);
        var shaper = shaper(faults);
        faults.change(change(true, cut));
        shaper.push(1, 10, 1);
        assertEquals(shaper.due(1000), List.of());
        assertEquals(shaper.nextMs(), NEVER);
        faults.change(change(false, cut));
        assertEquals(shaper.due(1001), List.of(1));
        faults.change(change(true, halfOpen));
        var neverDelivers = shaper(faults);
        faults.change(change(false, halfOpen));
        neverDelivers.push(1, 10, 1);
        assertEquals(neverDelivers.due(1e9), List.of());
    }

    @Test
    public void aConnectionIsCutAfterTheGivenNumberOfBytes() {
        var faults = new LinkFaults();
        faults.change(change(true, link(Fault.Kind.CUT_AFTER, 25, Fault.Mode.SILENT, true)));
        var shaper = shaper(faults);
        for (int i = 0; i < 4; i++) {
            shaper.push(0, 10, i);
        }
        assertEquals(shaper.due(1), List.of(0, 1, 2));
        assertTrue(shaper.broken());
    }

    /**
     * Draws one or two faults as the cause of a failure, in shuffled scripts: only these faults
     * remain.
     */
    @Test
    public void shrinkingKeepsExactlyTheFaultsThatCauseTheFailure() throws IOException {
        var random = new Random(5);
        for (int trial = 0; trial < 200; trial++) {
            var faults = new ArrayList<Fault>();
            for (int i = 0; i < 8; i++) {
                faults.add(Scripts.fault("f" + i, Fault.Kind.FULL, i, 1 + random.nextInt(5), 0));
            }
            Collections.shuffle(faults, random);
            String one = "f" + random.nextInt(8);
            String other = "f" + random.nextInt(8);
            var remaining =
                    Shrinker.shrink(
                            faults,
                            kept ->
                                    kept.stream().anyMatch(fault -> fault.name().equals(one))
                                            && kept.stream()
                                                    .anyMatch(fault -> fault.name().equals(other)));
            assertEquals(
                    remaining.stream().map(Fault::name).sorted().toList(),
                    List.of(one, other).stream().distinct().sorted().toList());
        }
    }

    @Test
    public void shrinkingKeepsAFaultThatTriggersANeededFault() throws IOException {
        var cause = Scripts.fault("cause", Fault.Kind.FULL, 0, 1, 0);
        var effect = triggered("effect", new Fault.Trigger("cause", "", 0), 1, 1).fault();
        var remaining =
                Shrinker.shrink(
                        List.of(cause, effect),
                        kept -> kept.stream().anyMatch(fault -> fault.name().equals("effect")));
        assertEquals(remaining, List.of(cause, effect));
    }
}
