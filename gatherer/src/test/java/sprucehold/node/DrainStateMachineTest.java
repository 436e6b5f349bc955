package sprucehold.node;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of the drain phases, with a simulated clock. */
public class DrainStateMachineTest {
    private static final DrainSchedule SCHEDULE = new DrainSchedule(3000, 3300, 3700);

    @DataProvider
    Object[][] moments() {
        var none = new DrainStateMachine.Outstanding(0, 0, 0);
        return new Object[][] {
            // ms since the start of the drain, outstanding work, phase, ms until the next check
            {0, none, DrainStateMachine.Phase.SERVING, 3000},
            {2999.5, none, DrainStateMachine.Phase.SERVING, 1},
            {
                2000,
                new DrainStateMachine.Outstanding(5, 1, 2),
                DrainStateMachine.Phase.SERVING,
                1000
            },
            {3000, none, DrainStateMachine.Phase.REDIRECTING, 300},
            {
                3299,
                new DrainStateMachine.Outstanding(1, 0, 0),
                DrainStateMachine.Phase.REDIRECTING,
                1
            },
            {3300, none, DrainStateMachine.Phase.COMPLETE, 10},
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
    public void phaseFollowsFromTimeAndOutstandingWork(
            double elapsedMs,
            DrainStateMachine.Outstanding outstanding,
            DrainStateMachine.Phase phase,
            long nextCheckMs) {
        var drain = new DrainStateMachine(SCHEDULE, 1000);
        assertEquals(drain.phase(1000 + elapsedMs, outstanding), phase);
        assertEquals(drain.nextCheckMs(1000 + elapsedMs), nextCheckMs);
    }

    @DataProvider
    Object[][] timeouts() {
        return new Object[][] {{100.0}, {400.0}, {1500.0}, {3000.0}, {9000.0}};
    }

    /**
     * SIGKILL doesn't follow SIGTERM before 0.7 s plus the longest query timeout have passed. A
     * timeout longer than 3 s counts as 3 s.
     */
    @Test(dataProvider = "timeouts")
    public void everyReceivedQueryIsAnsweredBeforeProcessMayBeKilled(double longestMs) {
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
