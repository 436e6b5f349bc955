package sprucehold.policy;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import sprucehold.decision.AttemptOutcome;
import sprucehold.decision.Command;
import sprucehold.decision.Deployment;
import sprucehold.decision.QueryClass;
import sprucehold.decision.Reason;
import sprucehold.decision.SkippedReplica;

/** Tests how wide rounds are, when the next round is sent, and which parts are sent first. */
public class RoundsTest {
    @DataProvider
    Object[][] firstWidths() {
        return new Object[][] {
            // query class, parts, attempts of the first round: ceil(needed parts / 0.9), at most
            // the number of parts
            {SchedulerFixture.THREE_QUARTERS, 9, 8},
            {SchedulerFixture.THREE_QUARTERS, 4, 4},
            {SchedulerFixture.THREE_QUARTERS, 16, 14},
            {SchedulerFixture.COMPLETE_ONLY, 5, 5},
            {SchedulerFixture.NON_IDEMPOTENT, 2, 2},
        };
    }

    @Test(dataProvider = "firstWidths")
    public void firstRoundWidthFollowsTheCompletionEstimate(
            QueryClass queryClass, int parts, int expected) {
        var fixture = new SchedulerFixture().start();
        fixture.receive("s", queryClass, parts, 4000);
        assertEquals(fixture.all(Command.SendAttempt.class).size(), expected);
    }

    @DataProvider
    Object[][] roundTimers() {
        return new Object[][] {
            // parts completed before the timer expires, of the eight sent of nine; whether the
            // ninth is sent when the timer expires
            {0, true}, {3, true}, {6, true}, {7, false},
        };
    }

    @Test(dataProvider = "roundTimers")
    public void expiredRoundWithTooFewCompletedIsFollowedByAnother(
            int completed, boolean ninthSent) {
        var fixture = new SchedulerFixture();
        fixture.limits = new Deployment.Limits(1, 1000, false, true, 500);
        fixture.start().receive("s", SchedulerFixture.THREE_QUARTERS, 9, 4000);
        List<String> sent = List.copyOf(fixture.serversByPart().keySet());
        sent.subList(0, completed)
                .forEach(part -> fixture.endAttempt(part, 0, AttemptOutcome.COMPLETED));
        fixture.waitFor(505);
        assertEquals(fixture.serversByPart().size(), ninthSent ? 9 : 8);
        assertEquals(fixture.finalAnswers(), completed >= 7 ? List.of("complete") : List.of());
    }

    @Test
    public void partsBeyondTheNumberNeededDontQueueAtBusyServers() {
        var fixture = new SchedulerFixture().start();
        for (int i = 0; i < 2; i++) {
            fixture.receive("busy" + i, SchedulerFixture.NON_IDEMPOTENT, 4, 4000);
        }
        fixture.commands.clear();
        fixture.receive("s", SchedulerFixture.THREE_QUARTERS, 4, 4000);
        assertEquals(fixture.serversByPart().size(), 3);
    }

    @Test
    public void everyAttemptOfARoundOrRetryHasItsReason() {
        var fixture = new SchedulerFixture();
        fixture.limits = new Deployment.Limits(3, 1000, false, true, 500);
        fixture.start().receive("s", SchedulerFixture.THREE_QUARTERS, 9, 4000);
        List<Command.SendAttempt> first = fixture.all(Command.SendAttempt.class);
        assertTrue(
                first.stream().allMatch(attempt -> attempt.reason() == Reason.FIRST_ROUND),
                first.toString());
        fixture.endAttempt(first.get(0).partId(), 0, AttemptOutcome.COMPLETED);
        fixture.commands.clear();
        fixture.endAttempt(first.get(1).partId(), 0, AttemptOutcome.OVERLOADED);
        fixture.endAttempt(first.get(2).partId(), 0, AttemptOutcome.ERROR);
        fixture.waitFor(505);
        List<Command.SendAttempt> later = fixture.all(Command.SendAttempt.class);
        assertEquals(
                later.stream().map(Command::reason).toList(),
                List.of(Reason.RETRY_NOT_RUN, Reason.RETRY, Reason.LATER_ROUND));
        assertEquals(
                later.get(0).skipped(),
                List.of(
                        new SkippedReplica(
                                first.get(1).server(), SkippedReplica.Cause.ALREADY_TRIED)));
    }

    @Test
    public void roundThatCompletesNothingIsFollowedByAllUnsentParts() {
        var fixture = new SchedulerFixture();
        fixture.limits = new Deployment.Limits(1, 1000, false, true, 500);
        fixture.start().receive("s", SchedulerFixture.THREE_QUARTERS, 9, 4000);
        fixture.commands.clear();
        fixture.waitFor(505);
        assertEquals(
                fixture.all(Command.SendAttempt.class).stream().map(Command::reason).toList(),
                List.of(Reason.ROUND_AFTER_EMPTY));
    }

    /** Guards against queries that crash the servers that run them. */
    @Test
    public void nextQueryOfATenantStartsWithOnePartAfterAllConnectionsWereReset() {
        var fixture = new SchedulerFixture().start();
        fixture.receive("s", SchedulerFixture.COMPLETE_ONLY, 4, 4000);
        for (int i = 0; i < 4; i++) {
            fixture.endAttempt("s/" + i, 0, AttemptOutcome.RESET);
        }
        fixture.waitFor(10);
        fixture.receive("t", SchedulerFixture.COMPLETE_ONLY, 4, 4000);
        assertEquals(
                fixture.serversByPart().keySet().stream()
                        .filter(part -> part.startsWith("t"))
                        .count(),
                1);
        String first = fixture.all(Command.SendAttempt.class).get(4).partId();
        fixture.endAttempt(first, 0, AttemptOutcome.COMPLETED);
        assertEquals(
                fixture.serversByPart().keySet().stream()
                        .filter(part -> part.startsWith("t"))
                        .count(),
                4);
    }
}
