package sprucehold.coordinator;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import sprucehold.decision.AttemptOutcome;
import sprucehold.decision.Command;
import sprucehold.decision.Deployment;
import sprucehold.decision.Event;
import sprucehold.decision.QueryClass;
import sprucehold.decision.Tenant;

/** Tests the coordinator with a scripted policy that returns one list of commands for each call. */
public class QueryCoordinatorTest {
    private static final AttemptResult COMPLETED =
            new AttemptResult.Completed(Payload.ofUtf8("v"), null);
    private final Queue<List<Command>> script = new ArrayDeque<>();
    private final List<List<Event>> eventBatches = new ArrayList<>();
    private QueryCoordinator coordinator;

    private static Query query(String id, String tenant, int partCount) {
        var parts = new ArrayList<Query.Part>();
        for (int shard = 0; shard < partCount; shard++) {
            parts.add(new Query.Part(shard, 1.0 / partCount));
        }
        return new Query(id, "q", tenant, 500, parts, Payload.ofUtf8("text"));
    }

    @BeforeMethod
    public void createCoordinator() {
        script.clear();
        eventBatches.clear();
        coordinator =
                new QueryCoordinator(
                        (now, events) -> {
                            eventBatches.add(events);
                            List<Command> commands = script.isEmpty() ? List.of() : script.remove();
                            if (commands == null || commands.contains(THROW)) {
                                throw new IllegalStateException("scripted");
                            }
                            return commands;
                        },
                        deployment(QueryClass.Idempotence.IDEMPOTENT));
        coordinator.observe(
                0,
                List.of(
                        new Observation.EndpointsUpdated(
                                true,
                                List.of(
                                        new EndpointUpdate(
                                                "a",
                                                "127.0.0.1:1",
                                                0,
                                                "z",
                                                0,
                                                EndpointUpdate.State.RUNNING)))));
        eventBatches.clear();
    }

    private static Deployment deployment(QueryClass.Idempotence idempotence) {
        return new Deployment(
                1,
                "z",
                5,
                1,
                List.of(new QueryClass("q", idempotence, 100, 1, 0, 0, 1, 1, 0)),
                List.of(new Tenant("acme", 9)),
                new Deployment.ShardLayout(1, 1, 1),
                new Deployment.Limits(4, 5, true, true, 0),
                new Deployment.SlowStartRule(1, 0, 1, 0),
                Deployment.RetryBudget.NONE,
                new Deployment.EndpointSubscription(false, 0));
    }

    private static final Command THROW = new Command.LogMessage("throw");

    private static Command send(String partId) {
        return new Command.SendAttempt(partId, "a", 400);
    }

    private Attempt submitAndSend(String id) {
        script.add(List.of(send(id + ".0")));
        return coordinator.submit(1, query(id, null, 1)).attemptsToSend().get(0);
    }

    private Commands endAttempt(double now, Attempt attempt, AttemptResult result) {
        return coordinator.observe(now, List.of(new Observation.AttemptEnded(attempt, result)));
    }

    @DataProvider
    Object[][] repeatedIds() {
        var written = new AttemptResult.Cancelled(WriteProgress.WRITTEN);
        var notWritten = new AttemptResult.Cancelled(WriteProgress.NOT_WRITTEN);
        return new Object[][] {
            {QueryClass.Idempotence.NON_IDEMPOTENT, written, true},
            {QueryClass.Idempotence.DEDUPLICATED, written, true},
            {QueryClass.Idempotence.IDEMPOTENT, written, false},
            {QueryClass.Idempotence.NON_IDEMPOTENT, notWritten, false},
            {QueryClass.Idempotence.NON_IDEMPOTENT, COMPLETED, true},
            {QueryClass.Idempotence.NON_IDEMPOTENT, new AttemptResult.Rejected(null), false},
        };
    }

    /** Guards against an id that runs twice when it comes again after its client has left. */
    @Test(dataProvider = "repeatedIds")
    public void idIsSpentIfItsQueryMayHaveRunAndMustNotRunAgain(
            QueryClass.Idempotence idempotence, AttemptResult result, boolean spent) {
        coordinator.updateDeployment(0, deployment(idempotence));
        Query query = query("s", null, 1);
        script.add(List.of(send("s.0")));
        Attempt attempt = coordinator.submit(1, query).attemptsToSend().get(0);
        coordinator.observe(2, List.of(new Observation.ClientDisconnected(query)));
        assertTrue(coordinator.isOpen(query));
        endAttempt(3, attempt, result);
        assertFalse(coordinator.isOpen(query));
        assertEquals(coordinator.isSpent(query("s", null, 1)), spent);
        assertFalse(coordinator.isSpent(query("t", null, 1)));
    }

    @Test
    public void spentIdsAreBoundedInBytesAndTheLatestAreKept() {
        var ids = new SpentQueryIds();
        int count = 3 * SpentQueryIds.MAX_BYTES / SpentQueryIds.ENTRY_BYTES;
        for (int i = 0; i < count; i++) {
            ids.add("id" + i);
        }
        assertTrue(ids.size() * SpentQueryIds.ENTRY_BYTES <= SpentQueryIds.MAX_BYTES);
        assertTrue(ids.contains("id" + (count - 1)));
        assertFalse(ids.contains("id0"));
    }

    @DataProvider
    Object[][] outcomes() {
        return new Object[][] {
            {COMPLETED, false, AttemptOutcome.COMPLETED},
            {COMPLETED, true, AttemptOutcome.COMPLETED},
            {new AttemptResult.Failed(null), false, AttemptOutcome.ERROR},
            {new AttemptResult.Rejected(null), false, AttemptOutcome.OVERLOADED},
            {
                new AttemptResult.ConnectionLost(WriteProgress.NOT_WRITTEN),
                false,
                AttemptOutcome.UNREACHABLE
            },
            {
                new AttemptResult.ConnectionLost(WriteProgress.PARTLY_WRITTEN),
                false,
                AttemptOutcome.UNREACHABLE
            },
            {new AttemptResult.ConnectionLost(WriteProgress.WRITTEN), false, AttemptOutcome.RESET},
            {
                new AttemptResult.Cancelled(WriteProgress.NOT_WRITTEN),
                false,
                AttemptOutcome.NEVER_SENT
            },
            {
                new AttemptResult.Cancelled(WriteProgress.NOT_WRITTEN),
                true,
                AttemptOutcome.NEVER_SENT
            },
            {new AttemptResult.Cancelled(WriteProgress.WRITTEN), false, AttemptOutcome.CANCELLED},
            {new AttemptResult.Cancelled(WriteProgress.WRITTEN), true, AttemptOutcome.TIMED_OUT},
        };
    }

    @Test(dataProvider = "outcomes")
    public void resultMapsToOutcomeThatStatesWhetherPartMayHaveRun(
            AttemptResult result, boolean timedOut, AttemptOutcome outcome) {
        assertEquals(AttemptOutcomes.of(result, timedOut), outcome);
    }

    @Test
    public void submitPassesQueryAndPartsInOneCallAndUnknownTenantAsNull() {
        coordinator.submit(1, query("s", "acme", 2));
        coordinator.submit(1, query("t", "nobody", 1));
        assertEquals(eventBatches.get(0).size(), 3);
        assertEquals(((Event.QueryReceived) eventBatches.get(0).get(0)).tenant().name(), "acme");
        assertEquals(((Event.PartReceived) eventBatches.get(0).get(2)).id(), "s.1");
        assertEquals(((Event.QueryReceived) eventBatches.get(1).get(0)).tenant(), null);
    }

    @Test
    public void answerContainsOnlyValuesOfCompletedParts() {
        script.add(List.of(send("s.0"), send("s.1")));
        Commands commands = coordinator.submit(1, query("s", null, 2));
        endAttempt(2, commands.attemptsToSend().get(1), COMPLETED);
        script.add(
                List.of(new Command.AnswerQuery("s", false), new Command.CancelAttempt("s.0", 0)));
        commands = endAttempt(3, commands.attemptsToSend().get(0), new AttemptResult.Failed(null));
        var answer = (Answer.Completed) commands.replies().get(0).answer();
        assertFalse(answer.complete());
        assertEquals(answer.values().size(), 1);
        assertEquals(answer.values().get(0).shard(), 1);
        assertFalse(coordinator.isOpen(query("s", null, 2)));
    }

    @Test
    public void submitRejectsQueryAtLimitOfOpenItems() {
        coordinator.submit(1, query("s", null, 4));
        Commands commands = coordinator.submit(1, query("t", null, 1));
        assertEquals(commands.replies().get(0).answer(), new Answer.Rejected(0));
        assertEquals(eventBatches.size(), 1);
    }

    @Test
    public void attemptIsNotSentIfItsQueryIsAnsweredInTheSameCall() {
        script.add(
                List.of(
                        send("s.0"),
                        new Command.RejectQuery("s", 250),
                        new Command.CancelAttempt("s.0", 0)));
        Commands commands = coordinator.submit(1, query("s", null, 1));
        assertTrue(commands.attemptsToSend().isEmpty());
        assertTrue(commands.attemptsToCancel().isEmpty());
        assertEquals(commands.replies().get(0).answer(), new Answer.Rejected(250));
        assertEquals(
                ((Event.AttemptEnded) eventBatches.get(1).get(0)).outcome(),
                AttemptOutcome.NEVER_SENT);
    }

    @Test
    public void cancelledAttemptEndsWhenItsWriteProgressIsReported() {
        Attempt attempt = submitAndSend("s");
        script.add(List.of(new Command.FailQuery("s"), new Command.CancelAttempt("s.0", 0)));
        assertEquals(coordinator.tick(9).attemptsToCancel(), List.of(attempt));
        endAttempt(9, attempt, new AttemptResult.Cancelled(WriteProgress.WRITTEN));
        assertEquals(
                ((Event.AttemptEnded) eventBatches.get(2).get(0)).outcome(),
                AttemptOutcome.CANCELLED);
        // A result after the end of the attempt is ignored.
        assertTrue(endAttempt(10, attempt, COMPLETED).replies().isEmpty());
        assertFalse(coordinator.isOpen(query("s", null, 1)));
    }

    @Test
    public void queryIdIsOpenWhileAnAttemptIsPending() {
        Attempt attempt = submitAndSend("s");
        script.add(List.of(new Command.RejectQuery("s", 0)));
        coordinator.tick(2);
        assertTrue(coordinator.isOpen(query("s", null, 1)));
        endAttempt(3, attempt, COMPLETED);
        assertFalse(coordinator.isOpen(query("s", null, 1)));
    }

    @Test
    public void attemptIsCancelledAsTimedOutWhenItsTimeoutExpires() {
        Attempt attempt = submitAndSend("s");
        assertEquals(coordinator.tick(400.5).attemptsToCancel(), List.of());
        assertEquals(coordinator.tick(401).attemptsToCancel(), List.of(attempt));
        endAttempt(401, attempt, new AttemptResult.Cancelled(WriteProgress.WRITTEN));
        assertEquals(
                ((Event.AttemptEnded) eventBatches.get(eventBatches.size() - 1).get(0)).outcome(),
                AttemptOutcome.TIMED_OUT);
    }

    @Test
    public void disconnectedClientClosesOnlyItsOwnQuery() {
        submitAndSend("s");
        coordinator.observe(2, List.of(new Observation.ClientDisconnected(query("s", null, 1))));
        assertEquals(coordinator.openQueryCount(), 1);
    }

    @Test
    public void policyExceptionFailsAffectedQueriesAndOthersContinue() {
        Attempt other = submitAndSend("s");
        script.add(List.of(THROW));
        Commands commands = coordinator.submit(2, query("t", null, 1));
        assertEquals(commands.replies().get(0).query().id(), "t");
        assertEquals(commands.replies().get(0).answer(), new Answer.Failed());
        assertEquals(((Event.ClientDisconnected) eventBatches.get(2).get(0)).queryId(), "t");
        assertTrue(commands.nextTickAtMs() <= 7);
        script.add(List.of(new Command.AnswerQuery("s", true)));
        assertEquals(endAttempt(3, other, COMPLETED).replies().size(), 1);
    }

    @Test
    public void policyExceptionInEveryCallStillFailsTheQuery() {
        Attempt attempt = submitAndSend("s");
        for (int i = 0; i < 10; i++) {
            script.add(List.of(THROW));
        }
        Commands commands = endAttempt(2, attempt, COMPLETED);
        assertEquals(commands.replies().get(0).answer(), new Answer.Failed());
    }

    @Test
    public void queryThatThePolicyNeverEndsFailsAtItsDeadline() {
        Attempt attempt = submitAndSend("s");
        assertTrue(coordinator.tick(500.5).replies().isEmpty());
        Commands commands = coordinator.tick(501);
        assertEquals(commands.replies().get(0).answer(), new Answer.Failed());
        assertEquals(coordinator.tick(502).replies().size(), 0);
        assertTrue(attempt.isTimedOut());
    }

    /** Guards against the service of a value that is known to be wrong. */
    @Test
    public void queryOfADisprovedValueFails() {
        script.add(List.of(send("s.0"), send("s.1")));
        List<Attempt> sent = coordinator.submit(1, query("s", null, 2)).attemptsToSend();
        endAttempt(2, sent.get(0), COMPLETED);
        Commands commands =
                coordinator.observe(3, List.of(new Observation.AnswerDisproved(sent.get(0))));
        assertEquals(commands.replies().get(0).answer(), new Answer.Failed());
        assertEquals(commands.attemptsToCancel(), List.of(sent.get(1)));
        commands = coordinator.observe(4, List.of(new Observation.AnswerDisproved(sent.get(0))));
        assertEquals(commands.replies(), List.of());
    }

    @Test
    public void disprovedValueThatIsNotUsedHasNoEffect() {
        script.add(List.of(send("s.0"), send("s.0"), send("s.1")));
        List<Attempt> sent = coordinator.submit(1, query("s", null, 2)).attemptsToSend();
        endAttempt(2, sent.get(0), COMPLETED);
        endAttempt(3, sent.get(1), COMPLETED);
        Commands commands =
                coordinator.observe(4, List.of(new Observation.AnswerDisproved(sent.get(1))));
        assertEquals(commands.replies(), List.of());
    }

    /** Guards against closed queries that occupy memory with their bodies until their deadline. */
    @Test
    public void closedQueryIsNotTrackedUntilItsDeadline() {
        Attempt open = submitAndSend("open");
        int trackedBefore = coordinator.trackedItems();
        Attempt attempt = submitAndSend("s");
        script.add(List.of(new Command.AnswerQuery("s", true)));
        endAttempt(2, attempt, COMPLETED);
        assertEquals(coordinator.trackedItems(), trackedBefore);
        assertTrue(open.isPending());
    }

    @Test
    public void noItemsAreTrackedAfterAllQueriesAndAttemptsEnded() {
        for (int i = 0; i < 100; i++) {
            script.add(List.of(send("s.0"), send("s.1"), send("s.0")));
            List<Attempt> attempts = coordinator.submit(i, query("s", null, 2)).attemptsToSend();
            endAttempt(i, attempts.get(0), new AttemptResult.ConnectionLost(WriteProgress.WRITTEN));
            script.add(
                    List.of(
                            new Command.AnswerQuery("s", true),
                            new Command.CancelAttempt("s.0", 1)));
            endAttempt(i, attempts.get(1), COMPLETED);
            endAttempt(i, attempts.get(2), new AttemptResult.Cancelled(WriteProgress.WRITTEN));
        }
        coordinator.tick(1000);
        assertEquals(coordinator.trackedItems(), 0);
    }

    @Test
    public void replacedServersAreRemovedAndTheirAttemptsEndNormally() {
        Attempt attempt = submitAndSend("s");
        for (int i = 0; i < 100; i++) {
            EndpointUpdate goneServer =
                    new EndpointUpdate(
                            "n" + i, "127.0.0.1:2", 0, "z", 0, EndpointUpdate.State.GONE);
            coordinator.observe(
                    2,
                    List.of(
                            new Observation.EndpointsUpdated(
                                    i % 2 == 0,
                                    List.of(
                                            goneServer,
                                            new EndpointUpdate(
                                                    "n" + (i + 1),
                                                    "127.0.0.1:2",
                                                    0,
                                                    "z",
                                                    0,
                                                    EndpointUpdate.State.RUNNING)))));
        }
        assertEquals(coordinator.listedServers(), 1);
        script.add(List.of(new Command.AnswerQuery("s", true)));
        assertEquals(endAttempt(3, attempt, COMPLETED).replies().size(), 1);
        // An attempt to a server that is no longer listed is not sent.
        script.add(List.of(send("t.0")));
        assertTrue(coordinator.submit(4, query("t", null, 1)).attemptsToSend().isEmpty());
    }

    @Test
    public void nextTickIsTheEarliestOfWakeUpTimeoutAndDeadline() {
        script.add(
                List.of(
                        send("s.0"),
                        new Command.ScheduleWakeUp(50),
                        new Command.ScheduleWakeUp(90)));
        assertEquals(coordinator.submit(1, query("s", null, 1)).nextTickAtMs(), 51.0);
        assertEquals(coordinator.tick(51).nextTickAtMs(), 401.0);
        assertEquals(coordinator.tick(401).nextTickAtMs(), 501.0);
    }

    @Test
    public void serverIsNotRunningOnceReportedDrainingOrGoneOrUnlisted() {
        ShardServer server = submitAndSend("s").server();
        assertTrue(server.isRunning());
        for (EndpointUpdate.State state : EndpointUpdate.State.values()) {
            coordinator.observe(
                    2,
                    List.of(
                            new Observation.EndpointsUpdated(
                                    false,
                                    List.of(
                                            new EndpointUpdate(
                                                    "a", "127.0.0.1:2", 0, "z", 0, state)))));
            assertEquals(server.isRunning(), state == EndpointUpdate.State.RUNNING);
            assertEquals(server.address(), "127.0.0.1:2");
        }
        coordinator.observe(
                3,
                List.of(
                        new Observation.EndpointsUpdated(
                                false,
                                List.of(
                                        new EndpointUpdate(
                                                "a",
                                                "127.0.0.1:2",
                                                0,
                                                "z",
                                                0,
                                                EndpointUpdate.State.RUNNING)))));
        coordinator.observe(4, List.of(new Observation.EndpointsUpdated(true, List.of())));
        assertFalse(server.isRunning());
    }

    /** Guards against a lost wake-up if another call is made exactly at the wake-up time. */
    @Test
    public void wakeUpEventIsAddedByAnyCallAtTheWakeUpTime() {
        script.add(List.of(new Command.ScheduleWakeUp(50)));
        assertEquals(coordinator.submit(1, query("s", null, 1)).nextTickAtMs(), 51.0);
        eventBatches.clear();
        coordinator.observe(50, List.of());
        assertFalse(eventBatches.get(0).contains(new Event.WakeUp()));
        coordinator.observe(51, List.of());
        assertEquals(eventBatches.get(1), List.of(new Event.WakeUp()));
        assertTrue(coordinator.observe(52, List.of()).nextTickAtMs() > 51);
    }
}
