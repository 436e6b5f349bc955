package sprucehold.simulation;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import sprucehold.decision.Command;
import sprucehold.decision.DecisionPolicy;
import sprucehold.decision.Event;
import sprucehold.policy.QueryScheduler;

/**
 * Tests of the adapter with batches of the simulation, with a scripted and with the real decision
 * policy.
 */
public class SimulationAdapterTest {
    private static final String START_MESSAGE =
            "{\"PowerOn\":{\"rngSeed\":5,\"params\":{\"balancers\":2,\"new\":[1],\"classes\":"
                    + "[{\"name\":\"q\",\"semantics\":\"dedup\",\"aimMs\":100}],\"familyInfo\":{\"sets\":2}}}}";

    private static String run(DecisionPolicy.Factory factory, String... lines) throws IOException {
        var out = new ByteArrayOutputStream();
        byte[] in = (String.join("\n", lines) + "\n").getBytes(StandardCharsets.UTF_8);
        new SimulationAdapter(factory).run(new ByteArrayInputStream(in), out);
        return out.toString(StandardCharsets.UTF_8);
    }

    private static String batch(String messages) {
        return "{\"tsMs\":1.5,\"parts\":[{\"who\":3,\"msgs\":[" + messages + "]}]}";
    }

    @DataProvider
    Object[][] malformed() {
        return new Object[][] {
            {"x"},
            {"{}"},
            {"[]"},
            {"{\"tsMs\":1,\"parts\":[{}]}"},
            {"{\"tsMs\":1,\"parts\":[]} 2"},
            {batch("{\"Bell\":{}}")},
            {batch(START_MESSAGE + ",{\"What\":{}}")},
            {batch(START_MESSAGE + ",{}")},
            {batch(START_MESSAGE + ",{\"Registry\":{\"kind\":\"replace\",\"slot\":4}}")},
        };
    }

    @Test(dataProvider = "malformed")
    public void malformedInputEndsRunWithoutOutput(String line) {
        var out = new ByteArrayOutputStream();
        byte[] in = (line + "\n").getBytes(StandardCharsets.UTF_8);
        assertThrows(
                MalformedBatchException.class,
                () ->
                        new SimulationAdapter(QueryScheduler::new)
                                .run(new ByteArrayInputStream(in), out));
        assertEquals(out.size(), 0);
    }

    @Test
    public void everyCommandHasAWireForm() throws IOException {
        List<Command> commands =
                List.of(
                        new Command.SendAttempt("p", "s", 2),
                        new Command.CancelAttempt("p", 1),
                        new Command.AnswerQuery("q", true),
                        new Command.RejectQuery("q", 5),
                        new Command.FailQuery("q"),
                        new Command.ScheduleWakeUp(1),
                        new Command.CheckHealth("s"),
                        new Command.SubscribeToEndpoints(),
                        new Command.LogMessage("n"));
        assertEquals(
                run((seed, deployment) -> (now, events) -> commands, batch(START_MESSAGE)),
                "{\"parts\":[{\"who\":3,\"outbox\":[{\"Attempt\":{\"id\":\"p\",\"server\":\"s\",\"timeoutMs\":2.0}},"
                        + "{\"UndoSend\":{\"id\":\"p\",\"sendNo\":1}},{\"Assemble\":{\"id\":\"q\",\"complete\":true}},"
                        + "{\"Busy\":{\"id\":\"q\",\"comeBackMs\":5.0}},{\"GiveUp\":{\"id\":\"q\"}},"
                        + "{\"Timer\":{\"offsetMs\":1.0,\"ref\":\"wake\"}},{\"Ping\":{\"server\":\"s\"}},"
                        + "{\"KeepInformed\":{\"complete\":true}},{\"Record\":{\"line\":\"n\"}}]}]}\n");
    }

    @Test
    public void exceptionBecomesPanicOfThatInstance() throws IOException {
        String reply =
                run(
                        (seed, deployment) ->
                                (now, events) -> {
                                    throw new IllegalStateException("lost");
                                },
                        batch(START_MESSAGE));
        assertTrue(
                reply.startsWith(
                        "{\"parts\":[{\"who\":3,\"outbox\":[{\"Panic\":{\"line\":\"java.lang."
                                + "IllegalStateException: lost at "),
                reply);
    }

    @Test
    public void eventsAreDecodedInOrderWithEndpointListAsOfTheirPosition() throws IOException {
        var receivedEvents = new ArrayList<Event>();
        DecisionPolicy.Factory factory =
                (seed, deployment) ->
                        (now, events) -> {
                            receivedEvents.addAll(events);
                            return List.of();
                        };
        String table =
                "{\"Table\":{\"slot\":0,\"hosts\":[{\"server\":\"%s\",\"mode\":\"Running\",\"site\":\"z\"}]}}";
        String list = ",{\"Registry\":{\"kind\":\"restored\",\"slot\":0}},";
        run(
                factory,
                batch(
                        START_MESSAGE
                                + ",{\"Bell\":{}},{\"CrashNow\":{}},"
                                + START_MESSAGE
                                + ","
                                + table.formatted("a")
                                + list
                                + table.formatted("b")
                                + list
                                + "{\"Order\":{\"id\":\"q1\",\"kind\":\"q\",\"timeBudgetMs\":9,"
                                + "\"wholeNo\":4,\"rangeNo\":-1}},{\"Order\":{\"id\":\"p1\",\"wholeNo\":4,\"measure\":1}},"
                                + "{\"Outcome\":{\"id\":\"p1\",\"rc\":14}},{\"Aborted\":{\"id\":\"q1\"}}"));
        assertEquals(receivedEvents.size(), 6);
        assertEquals(
                ((Event.EndpointsUpdated) receivedEvents.get(0)).endpoints().get(0).server(), "a");
        assertEquals(
                ((Event.EndpointsUpdated) receivedEvents.get(1)).endpoints().get(0).server(), "b");
        assertEquals(
                ((Event.QueryReceived) receivedEvents.get(2)).queryClass().latencyObjectiveMs(),
                100.0);
        assertEquals(((Event.PartReceived) receivedEvents.get(3)).queryNumber(), 4);
        assertTrue(((Event.AttemptEnded) receivedEvents.get(4)).outcome().provesNeverRan());
        assertEquals(((Event.ClientDisconnected) receivedEvents.get(5)).queryId(), "q1");
    }

    @Test
    public void sameEventsProduceSameCommands() throws IOException {
        String[] lines = {
            batch(
                    START_MESSAGE
                            + ",{\"Table\":{\"slot\":0,\"hosts\":[{\"server\":\"a\",\"mode\":\"Running\"},"
                            + "{\"server\":\"b\",\"mode\":\"Running\"}]}},{\"Registry\":{\"kind\":\"restored\",\"slot\":0}},"
                            + "{\"Order\":{\"id\":\"q1\",\"kind\":\"q\",\"timeBudgetMs\":90,\"wholeNo\":4,\"rangeNo\":-1}},"
                            + "{\"Order\":{\"id\":\"p1\",\"wholeNo\":4,\"measure\":1}}")
        };
        String first = run(QueryScheduler::new, lines);
        assertTrue(first.contains("Attempt"), first);
        assertEquals(run(QueryScheduler::new, lines), first);
    }
}
