package sprucehold.policy;

import static org.testng.Assert.assertEquals;

import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import sprucehold.decision.AttemptOutcome;
import sprucehold.decision.Command;
import sprucehold.decision.Deployment;
import sprucehold.decision.Event;
import sprucehold.decision.QueryClass;
import sprucehold.decision.Reason;

/** Tests which final answer a query gets, when, and with which reason. */
public class CompletionTest {
    @DataProvider
    Object[][] finalAnswers() {
        return new Object[][] {
            // query class, parts, completed parts, outcome of the other parts (null: pending at the
            // deadline), final answer
            {SchedulerFixture.COMPLETE_ONLY, 2, 2, null, "complete"},
            {SchedulerFixture.COMPLETE_ONLY, 2, 1, null, "rejected"},
            {SchedulerFixture.THREE_QUARTERS, 4, 3, null, "complete"},
            {SchedulerFixture.THREE_QUARTERS, 4, 2, null, "rejected"},
            {SchedulerFixture.HALF_MINIMUM, 4, 2, null, "incomplete"},
            {SchedulerFixture.HALF_MINIMUM, 4, 1, null, "rejected"},
            {SchedulerFixture.NON_IDEMPOTENT, 2, 1, null, "failed"},
            {SchedulerFixture.NON_IDEMPOTENT, 2, 0, null, "failed"},
            {SchedulerFixture.NON_IDEMPOTENT, 1, 0, AttemptOutcome.UNREACHABLE, "rejected"},
            {SchedulerFixture.NON_IDEMPOTENT, 2, 1, AttemptOutcome.OVERLOADED, "failed"},
            {SchedulerFixture.NON_IDEMPOTENT, 2, 0, AttemptOutcome.RESET, "failed"},
        };
    }

    @Test(dataProvider = "finalAnswers")
    public void missingPartsLeadToOneFinalAnswerInTime(
            QueryClass queryClass,
            int parts,
            int completed,
            AttemptOutcome otherOutcome,
            String expected) {
        var fixture = new SchedulerFixture();
        fixture.limits = new Deployment.Limits(1, 1000, false, true, 500);
        fixture.start().receive("s", queryClass, parts, 3000);
        for (int i = 0; i < parts; i++) {
            if (i < completed || otherOutcome != null) {
                fixture.endAttempt(
                        "s/" + i, 0, i < completed ? AttemptOutcome.COMPLETED : otherOutcome);
            }
        }
        fixture.waitFor(3000);
        assertEquals(fixture.finalAnswers(), List.of(expected));
        int sent = fixture.all(Command.SendAttempt.class).size();
        fixture.waitFor(5000);
        assertEquals(
                fixture.all(Command.SendAttempt.class).size(),
                sent,
                "nothing is sent for a query that is over");
    }

    @Test
    public void secondStepGetsItsOwnAnswer() {
        var fixture = new SchedulerFixture().start();
        fixture.receive("s", SchedulerFixture.TWO_STEPS, 2, 4000);
        fixture.endAttempt("s/0", 0, AttemptOutcome.COMPLETED);
        fixture.endAttempt("s/1", 0, AttemptOutcome.COMPLETED);
        assertEquals(fixture.finalAnswers(), List.of("complete"));
        List<Event> secondStepParts = fixture.parts("s+", 2);
        fixture.decide(secondStepParts.toArray(new Event[0]));
        fixture.endAttempt("s+/0", 0, AttemptOutcome.COMPLETED);
        assertEquals(fixture.finalAnswers(), List.of("complete"));
        fixture.endAttempt("s+/1", 0, AttemptOutcome.COMPLETED);
        assertEquals(fixture.finalAnswers(), List.of("complete", "complete"));
    }

    @Test
    public void incompleteQueryIsAnsweredAtTheLatencyObjective() {
        var fixture = new SchedulerFixture().start();
        fixture.receive("s", SchedulerFixture.HALF_MINIMUM, 4, 4000);
        fixture.endAttempt("s/0", 0, AttemptOutcome.COMPLETED);
        fixture.endAttempt("s/1", 0, AttemptOutcome.COMPLETED);
        fixture.waitFor(950);
        assertEquals(fixture.finalAnswers(), List.of());
        fixture.waitFor(50);
        assertEquals(fixture.finalAnswers(), List.of("incomplete"));
    }

    @DataProvider
    Object[][] endReasons() {
        return new Object[][] {
            // query class, outcome of the first attempt of its only part (null: no outcome), reason
            // of the final answer
            {SchedulerFixture.COMPLETE_ONLY, AttemptOutcome.COMPLETED, Reason.COMPLETE},
            {SchedulerFixture.NON_IDEMPOTENT, AttemptOutcome.ERROR, Reason.BELOW_MINIMUM_COVERAGE},
            {SchedulerFixture.NON_IDEMPOTENT, AttemptOutcome.RESET, Reason.ALL_CONNECTIONS_RESET},
            {SchedulerFixture.NON_IDEMPOTENT, null, Reason.DEADLINE},
        };
    }

    @Test(dataProvider = "endReasons")
    public void finalAnswerHasItsReason(
            QueryClass queryClass, AttemptOutcome outcome, Reason reason) {
        var fixture = new SchedulerFixture().start();
        fixture.receive("s", queryClass, 1, 4000);
        if (outcome != null) {
            fixture.endAttempt("s/0", 0, outcome);
        }
        fixture.waitFor(4000);
        List<Reason> reasons =
                fixture.commands.stream()
                        .filter(
                                command ->
                                        command instanceof Command.AnswerQuery
                                                || command instanceof Command.RejectQuery
                                                || command instanceof Command.FailQuery)
                        .map(Command::reason)
                        .toList();
        assertEquals(reasons, List.of(reason));
    }

    @Test
    public void attemptsOfADisconnectedClientAreCancelledWithThatReason() {
        var fixture = new SchedulerFixture().start();
        fixture.receive("s", SchedulerFixture.COMPLETE_ONLY, 2, 4000);
        fixture.decide(new Event.ClientDisconnected("s"));
        assertEquals(
                fixture.all(Command.CancelAttempt.class).stream().map(Command::reason).toList(),
                List.of(Reason.CLIENT_DISCONNECTED, Reason.CLIENT_DISCONNECTED));
    }
}
