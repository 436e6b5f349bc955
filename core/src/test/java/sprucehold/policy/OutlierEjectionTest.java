package sprucehold.policy;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import sprucehold.decision.AttemptOutcome;
import sprucehold.decision.Command;

/** Tests when failures eject a server, and which outcomes don't count against it. */
public class OutlierEjectionTest {
    @DataProvider
    Object[][] consecutiveFailures() {
        return new Object[][] {
            // consecutive failures of server a, their outcome, whether sequential queries avoid the
            // server, whether concurrent queries avoid it
            {1, AttemptOutcome.RESET, true, false},
            {2, AttemptOutcome.RESET, true, true},
            {3, AttemptOutcome.RESET, true, true},
            {1, AttemptOutcome.UNREACHABLE, true, true},
            {3, AttemptOutcome.OVERLOADED, true, true},
            {3, AttemptOutcome.CANCELLED, false, false},
        };
    }

    /**
     * If there are many gatherers, each one sends to a server too rarely for three failures to
     * eject it in time. Sequential queries therefore avoid a server after its first failure.
     */
    @Test(dataProvider = "consecutiveFailures")
    public void failingServerIsAvoidedThenEjectedThenTriedAgain(
            int failures, AttemptOutcome outcome, boolean avoided, boolean ejected) {
        SchedulerFixture fixture = withFailuresOfA(failures, outcome);
        assertEquals(fixture.sendsToAIn20Queries("calm", true), !avoided);
        fixture.waitFor(21_000);
        assertTrue(fixture.sendsToAIn20Queries("later", true));
        assertEquals(
                withFailuresOfA(failures, outcome).sendsToAIn20Queries("busy", false), !ejected);
    }

    private SchedulerFixture withFailuresOfA(int failures, AttemptOutcome outcome) {
        var fixture = new SchedulerFixture().start();
        int failed = 0;
        for (int i = 0; failed < failures && i < 40; i++) {
            fixture.waitFor(20_000);
            fixture.commands.clear();
            fixture.receive("f" + i, SchedulerFixture.COMPLETE_ONLY, 4, 4000);
            for (var sent : List.copyOf(fixture.serversByPart().entrySet())) {
                boolean fails = sent.getValue().get(0).equals("a") && failed < failures;
                failed += fails ? 1 : 0;
                fixture.endAttempt(sent.getKey(), 0, fails ? outcome : AttemptOutcome.COMPLETED);
                if (fixture.serversByPart().get(sent.getKey()).size() > 1) {
                    fixture.endAttempt(sent.getKey(), 1, AttemptOutcome.COMPLETED);
                }
            }
        }
        assertEquals(failed, failures);
        return fixture;
    }

    /** Timeouts caused by short deadlines of clients aren't failures of the servers. */
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
    Object[][] failureTimings() {
        return new Object[][] {
            {AttemptOutcome.RESET, 0, false},
            {AttemptOutcome.ERROR, 0, false},
            {AttemptOutcome.RESET, 1, true},
            {AttemptOutcome.ERROR, 1, true},
            {AttemptOutcome.UNREACHABLE, 0, true}
        };
    }

    /** A single unreadable answer ends all pending attempts on its connection. */
    @Test(dataProvider = "failureTimings")
    public void failuresAtTheSameTimeCountAsOne(
            AttemptOutcome outcome, double apartMs, boolean ejected) {
        assertEquals(
                SchedulerFixture.withThreeFailuresOfA(outcome, apartMs)
                        .sendsToAIn20Queries("busy", false),
                !ejected);
    }
}
