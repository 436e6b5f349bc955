package sprucehold.node;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** The end of a gatherer, on a clock of its own. */
public class DrainTest {
    private static final DrainSchedule SCHEDULE = new DrainSchedule(3000, 3300, 3700);

    @DataProvider
    Object[][] moments() {
        var nothing = new Drain.Owed(0, 0, 0);
        return new Object[][] {
            // ms since it was told, what is owed, the phase, when it is looked at again
            {0, nothing, Drain.Phase.SERVING_ON, 3000},
            {2999.5, nothing, Drain.Phase.SERVING_ON, 1},
            {2000, new Drain.Owed(5, 1, 2), Drain.Phase.SERVING_ON, 1000},
            {3000, nothing, Drain.Phase.SENDING_AWAY, 300},
            {3299, new Drain.Owed(1, 0, 0), Drain.Phase.SENDING_AWAY, 1},
            {3300, nothing, Drain.Phase.OVER, 10},
            {3300, new Drain.Owed(1, 0, 0), Drain.Phase.TURNING_AWAY, 10},
            {9000, new Drain.Owed(1, 0, 0), Drain.Phase.TURNING_AWAY, 10},
            {9000, new Drain.Owed(0, 1, 0), Drain.Phase.TURNING_AWAY, 10},
            {3399, new Drain.Owed(0, 0, 1), Drain.Phase.TURNING_AWAY, 10},
            {3400, new Drain.Owed(0, 0, 1), Drain.Phase.OVER, 10},
        };
    }

    @Test(dataProvider = "moments")
    public void drainIsOverOnceNothingIsOwedAndNoSooner(
            double passed, Drain.Owed owed, Drain.Phase phase, long again) {
        var drain = new Drain(SCHEDULE, 1000);
        assertEquals(drain.phase(1000 + passed, owed), phase);
        assertEquals(drain.lookAgainMs(1000 + passed), again);
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
        DrainSchedule schedule = DrainSchedule.within(longestMs);
        var drain = new Drain(schedule, 0);
        double killMs = Math.min(longestMs, 3000) + 700;
        assertTrue(
                schedule.serveMs() >= 400
                        && schedule.closeMs() >= schedule.serveMs()
                        && schedule.closeMs() < killMs,
                schedule.toString());
        for (double at = 0; at < schedule.closeMs(); at += 10) {
            assertTrue(at + drain.timeLeftMs(at) < killMs, schedule + " at " + at);
        }
    }
}
