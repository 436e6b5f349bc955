package sprucehold.node;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** The end of a gatherer, on a clock of its own. */
public class DrainStateMachineTest {
    private static final DrainSchedule SCHEDULE = new DrainSchedule(3000, 3300, 3700);

    @DataProvider
    Object[][] moments() {
        var nothing = new DrainStateMachine.Outstanding(0, 0, 0);
        return new Object[][] {
            // ms since it was told, what is owed, the phase, when it is looked at again
            {0, nothing, DrainStateMachine.Phase.SERVING, 3000},
            {2999.5, nothing, DrainStateMachine.Phase.SERVING, 1},
            {
                2000,
                new DrainStateMachine.Outstanding(5, 1, 2),
                DrainStateMachine.Phase.SERVING,
                1000
            },
            {3000, nothing, DrainStateMachine.Phase.REDIRECTING, 300},
            {
                3299,
                new DrainStateMachine.Outstanding(1, 0, 0),
                DrainStateMachine.Phase.REDIRECTING,
                1
            },
            {3300, nothing, DrainStateMachine.Phase.COMPLETE, 10},
            {
                3300,
                new DrainStateMachine.Outstanding(1, 0, 0),
                DrainStateMachine.Phase.REJECTING,
                10
            },
            {
                9000,
                new DrainStateMachine.Outstanding(1, 0, 0),
                DrainStateMachine.Phase.REJECTING,
                10
            },
            {
                9000,
                new DrainStateMachine.Outstanding(0, 1, 0),
                DrainStateMachine.Phase.REJECTING,
                10
            },
            {
                3399,
                new DrainStateMachine.Outstanding(0, 0, 1),
                DrainStateMachine.Phase.REJECTING,
                10
            },
            {
                3400,
                new DrainStateMachine.Outstanding(0, 0, 1),
                DrainStateMachine.Phase.COMPLETE,
                10
            },
        };
    }

    @Test(dataProvider = "moments")
    public void drainIsOverOnceNothingIsOwedAndNoSooner(
            double passed,
            DrainStateMachine.Outstanding owed,
            DrainStateMachine.Phase phase,
            long again) {
        var drain = new DrainStateMachine(SCHEDULE, 1000);
        assertEquals(drain.phase(1000 + passed, owed), phase);
        assertEquals(drain.nextCheckMs(1000 + passed), again);
    }

    @DataProvider
    Object[][] timeouts() {
        return new Object[][] {{100.0}, {400.0}, {1500.0}, {3000.0}, {9000.0}};
    }

    /**
     * SIGKILL comes no sooner than the longest query timeout, 3 s at most, and 0.7 s after SIGTERM.
     */
    @Test(dataProvider = "timeouts")
    public void everyScanTakenIsAnsweredBeforeTheProcessMayBeKilled(double longestMs) {
        DrainSchedule schedule = DrainSchedule.forLongestDeadline(longestMs);
        var drain = new DrainStateMachine(schedule, 0);
        double killMs = Math.min(longestMs, 3000) + 700;
        assertTrue(
                schedule.serveNormallyMs() >= 400
                        && schedule.rejectAfterMs() >= schedule.serveNormallyMs()
                        && schedule.rejectAfterMs() < killMs,
                schedule.toString());
        for (double at = 0; at < schedule.rejectAfterMs(); at += 10) {
            assertTrue(at + drain.timeLeftMs(at) < killMs, schedule + " at " + at);
        }
    }
}
