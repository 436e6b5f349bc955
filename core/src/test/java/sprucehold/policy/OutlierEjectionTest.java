package sprucehold.policy;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import sprucehold.decision.AttemptOutcome;
import sprucehold.decision.Command;

/** When failures eject a server, and which ones don't count against it. */
public class OutlierEjectionTest {
    @DataProvider
    Object[][] consecutiveFailures() {
        return new Object[][] {
            // consecutive failures of server a, how, whether sequential queries avoid it, whether
            // concurrent ones do
            {1, AttemptOutcome.RESET, true, false},
            {2, AttemptOutcome.RESET, true, true},
            {3, AttemptOutcome.RESET, true, true},
            {1, AttemptOutcome.UNREACHABLE, true, true},
            {3, AttemptOutcome.OVERLOADED, true, true},
            {3, AttemptOutcome.CANCELLED, false, false},
        };
    }

    /** Among many gatherers each meets a server too seldom for three failures to come in time. */
    @Test(dataProvider = "consecutiveFailures")
    public void failingServerIsAvoidedThenEjectedThenTriedAgain(
            int failures, AttemptOutcome how, boolean avoided, boolean ejected) {
        SchedulerFixture fixture = withFailuresOfA(failures, how);
        assertEquals(fixture.sendsToAIn20Queries("calm", true), !avoided);
        fixture.waitFor(21_000);
        assertTrue(fixture.sendsToAIn20Queries("later", true));
        assertEquals(withFailuresOfA(failures, how).sendsToAIn20Queries("busy", false), !ejected);
    }

    private SchedulerFixture withFailuresOfA(int failures, AttemptOutcome how) {
        var fixture = new SchedulerFixture().start();
        int failed = 0;
        for (int i = 0; failed < failures && i < 40; i++) {
            fixture.waitFor(20_000);
            fixture.commands.clear();
            fixture.receive("f" + i, SchedulerFixture.COMPLETE_ONLY, 4, 4000);
            for (var sent : List.copyOf(fixture.serversByPart().entrySet())) {
                boolean fails = sent.getValue().get(0).equals("a") && failed < failures;
                failed += fails ? 1 : 0;
                fixture.endAttempt(sent.getKey(), 0, fails ? how : AttemptOutcome.COMPLETED);
                if (fixture.serversByPart().get(sent.getKey()).size() > 1) {
                    fixture.endAttempt(sent.getKey(), 1, AttemptOutcome.COMPLETED);
                }
            }
        }
        assertEquals(failed, failures);
        return fixture;
    }

    /** Timeouts of impatient clients aren't their servers' failures. */
    @Test
    public void timeoutBeforeAPartIsLateDoesNotCountAgainstItsServer() {
        var fixture = new SchedulerFixture().start();
        for (int i = 0; i < 12; i++) {
            fixture.receive("s" + i, SchedulerFixture.NON_IDEMPOTENT, 1, 200);
            fixture.waitFor(185);
            fixture.endAttempt("s" + i + "/0", 0, AttemptOutcome.TIMED_OUT);
        }
        fixture.commands.clear();
        for (int i = 0; i < 20; i++) {
            fixture.complete("t" + i);
        }
        assertEquals(
                fixture.all(Command.SendAttempt.class).stream()
                        .map(Command.SendAttempt::server)
                        .distinct()
                        .count(),
                4);
    }

    @DataProvider
    Object[][] simultaneous() {
        return new Object[][] {
            {AttemptOutcome.RESET, 0, false},
            {AttemptOutcome.ERROR, 0, false},
            {AttemptOutcome.RESET, 1, true},
            {AttemptOutcome.ERROR, 1, true},
            {AttemptOutcome.UNREACHABLE, 0, true}
        };
    }

    /** One answer that can't be read ends all that is out on its connection. */
    @Test(dataProvider = "simultaneous")
    public void partsThatEndTogetherCountAsOneFailure(
            AttemptOutcome outcome, double apart, boolean ejected) {
        assertEquals(
                SchedulerFixture.withThreeFailuresOfA(outcome, apart)
                        .sendsToAIn20Queries("busy", false),
                !ejected);
    }
}
