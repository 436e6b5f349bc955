package sprucehold.picker;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import sprucehold.port.Action;
import sprucehold.port.Customer;
import sprucehold.port.Deployment;
import sprucehold.port.Ending;
import sprucehold.port.Event;
import sprucehold.port.TableType;

/** The picker against decisions that are scripted: one list of actions for each call. */
public class PickerTest {
    private static final Outcome HIT = new Outcome.Completed(bytes("v"), null);
    private final Queue<List<Action>> script = new ArrayDeque<>();
    private final List<List<Event>> seen = new ArrayList<>();
    private Picker picker;

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private static Scan scan(String id, String customer, int parts) {
        var list = new ArrayList<Scan.Part>();
        for (int segment = 0; segment < parts; segment++) {
            list.add(new Scan.Part(segment, 1.0 / parts));
        }
        return new Scan(id, "q", customer, 500, list, bytes("text"));
    }

    @BeforeMethod
    public void start() {
        script.clear();
        seen.clear();
        var type = new TableType("q", TableType.Repeat.REPLAYABLE, 100, 1, 0, 0, 1, 1, 0);
        picker =
                new Picker(
                        (now, events) -> {
                            seen.add(events);
                            List<Action> actions = script.isEmpty() ? List.of() : script.remove();
                            if (actions == null || actions.contains(PANIC)) {
                                throw new IllegalStateException("scripted");
                            }
                            return actions;
                        },
                        new Deployment(
                                1,
                                "z",
                                5,
                                1,
                                List.of(type),
                                List.of(new Customer("acme", 9)),
                                new Deployment.Layout(1, 1, 1),
                                new Deployment.Limits(4, 5, true, true, 0),
                                new Deployment.ColdRule(1, 0, 1, 0),
                                Deployment.DispatchBudget.NONE,
                                new Deployment.ListAccess(false, 0)));
        picker.report(
                0,
                List.of(
                        new Report.ListCame(
                                true,
                                List.of(
                                        new ServerNews(
                                                "a",
                                                "127.0.0.1:1",
                                                0,
                                                "z",
                                                0,
                                                ServerNews.State.RUNNING)))));
        seen.clear();
    }

    private static final Action PANIC = new Action.Note("panic");

    private static Action send(String part) {
        return new Action.Dispatch(part, "a", 400);
    }

    private Dispatch sent(String id) {
        script.add(List.of(send(id + ".0")));
        return picker.pick(1, scan(id, null, 1)).send().get(0);
    }

    private Orders ended(double now, Dispatch dispatch, Outcome outcome) {
        return picker.report(now, List.of(new Report.DispatchEnded(dispatch, outcome)));
    }

    @DataProvider
    Object[][] endings() {
        return new Object[][] {
            {HIT, false, Ending.COMPLETED},
            {HIT, true, Ending.COMPLETED},
            {new Outcome.Faulty(null), false, Ending.ERROR},
            {new Outcome.TurnedAway(null), false, Ending.FULL},
            {new Outcome.Lost(Progress.NOT_WRITTEN), false, Ending.UNCONNECTED},
            {new Outcome.Lost(Progress.PARTLY_WRITTEN), false, Ending.UNCONNECTED},
            {new Outcome.Lost(Progress.WRITTEN), false, Ending.RESET},
            {new Outcome.Cancelled(Progress.NOT_WRITTEN), false, Ending.NEVER_SENT},
            {new Outcome.Cancelled(Progress.NOT_WRITTEN), true, Ending.NEVER_SENT},
            {new Outcome.Cancelled(Progress.WRITTEN), false, Ending.CANCELLED},
            {new Outcome.Cancelled(Progress.WRITTEN), true, Ending.TIMED_OUT},
        };
    }

    @Test(dataProvider = "endings")
    public void endingSaysWhetherThePartMayHaveRun(
            Outcome outcome, boolean patienceOver, Ending ending) {
        assertEquals(Picker.ending(outcome, patienceOver), ending);
    }

    @Test
    public void scanAndPartsComeInOneCallAndUnknownCustomersAsNone() {
        picker.pick(1, scan("s", "acme", 2));
        picker.pick(1, scan("t", "nobody", 1));
        assertEquals(seen.get(0).size(), 3);
        assertEquals(((Event.ScanTaken) seen.get(0).get(0)).customer().name(), "acme");
        assertEquals(((Event.PartTaken) seen.get(0).get(2)).id(), "s.1");
        assertEquals(((Event.ScanTaken) seen.get(1).get(0)).customer(), null);
    }

    @Test
    public void answerHoldsTheValuesThatCame() {
        script.add(List.of(send("s.0"), send("s.1")));
        Orders orders = picker.pick(1, scan("s", null, 2));
        ended(2, orders.send().get(1), HIT);
        script.add(List.of(new Action.Answer("s", false), new Action.Cancel("s.0", 0)));
        orders = ended(3, orders.send().get(0), new Outcome.Faulty(null));
        var answer = (Answer.Completed) orders.replies().get(0).answer();
        assertFalse(answer.whole());
        assertEquals(answer.values().size(), 1);
        assertEquals(answer.values().get(0).segment(), 1);
        assertFalse(picker.isOpen(scan("s", null, 2)));
    }

    @Test
    public void scansAreThrottledAtTheDoorOnceAllThatMayBeOpenIs() {
        picker.pick(1, scan("s", null, 4));
        Orders orders = picker.pick(1, scan("t", null, 1));
        assertEquals(orders.replies().get(0).answer(), new Answer.Throttled(0));
        assertEquals(seen.size(), 1);
    }

    @Test
    public void nothingIsSentForAScanAnsweredAtTheSameMoment() {
        script.add(
                List.of(send("s.0"), new Action.Throttle("s", 250), new Action.Cancel("s.0", 0)));
        Orders orders = picker.pick(1, scan("s", null, 1));
        assertTrue(orders.send().isEmpty());
        assertTrue(orders.cancel().isEmpty());
        assertEquals(orders.replies().get(0).answer(), new Answer.Throttled(250));
        assertEquals(((Event.DispatchEnded) seen.get(1).get(0)).ending(), Ending.NEVER_SENT);
    }

    @Test
    public void callingOffIsToldOnceItIsKnownHowFarTheDispatchHadCome() {
        Dispatch dispatch = sent("s");
        script.add(List.of(new Action.Abandon("s"), new Action.Cancel("s.0", 0)));
        assertEquals(picker.tick(9).cancel(), List.of(dispatch));
        ended(9, dispatch, new Outcome.Cancelled(Progress.WRITTEN));
        assertEquals(((Event.DispatchEnded) seen.get(2).get(0)).ending(), Ending.CANCELLED);
        // The books are closed: what comes later is dropped.
        assertTrue(ended(10, dispatch, HIT).replies().isEmpty());
        assertFalse(picker.isOpen(scan("s", null, 1)));
    }

    @Test
    public void idIsOpenWhileADispatchOfItIsOut() {
        Dispatch dispatch = sent("s");
        script.add(List.of(new Action.Throttle("s", 0)));
        picker.tick(2);
        assertTrue(picker.isOpen(scan("s", null, 1)));
        ended(3, dispatch, HIT);
        assertFalse(picker.isOpen(scan("s", null, 1)));
    }

    @Test
    public void patienceThatIsOverCallsOffAndCountsAsTimeOut() {
        Dispatch dispatch = sent("s");
        assertEquals(picker.tick(400.5).cancel(), List.of());
        assertEquals(picker.tick(401).cancel(), List.of(dispatch));
        ended(401, dispatch, new Outcome.Cancelled(Progress.WRITTEN));
        assertEquals(
                ((Event.DispatchEnded) seen.get(seen.size() - 1).get(0)).ending(),
                Ending.TIMED_OUT);
    }

    @Test
    public void clientThatLeftEndsItsOwnScanOnly() {
        sent("s");
        picker.report(2, List.of(new Report.ClientLeft(scan("s", null, 1))));
        assertEquals(picker.openScans(), 1);
    }

    @Test
    public void panicAbandonsTheScansConcernedAndGoesOn() {
        Dispatch other = sent("s");
        script.add(List.of(PANIC));
        Orders orders = picker.pick(2, scan("t", null, 1));
        assertEquals(orders.replies().get(0).scan().id(), "t");
        assertEquals(orders.replies().get(0).answer(), new Answer.Abandoned());
        assertEquals(((Event.ClientLeft) seen.get(2).get(0)).scanId(), "t");
        assertTrue(orders.nextTickAtMs() <= 7);
        script.add(List.of(new Action.Answer("s", true)));
        assertEquals(ended(3, other, HIT).replies().size(), 1);
    }

    @Test
    public void panicOfEveryCallStillEnds() {
        Dispatch dispatch = sent("s");
        for (int i = 0; i < 10; i++) {
            script.add(List.of(PANIC));
        }
        Orders orders = ended(2, dispatch, HIT);
        assertEquals(orders.replies().get(0).answer(), new Answer.Abandoned());
    }

    @Test
    public void scanThatTheDecisionsForgotIsAbandonedWhenItsTimeIsUp() {
        Dispatch dispatch = sent("s");
        assertTrue(picker.tick(500.5).replies().isEmpty());
        Orders orders = picker.tick(501);
        assertEquals(orders.replies().get(0).answer(), new Answer.Abandoned());
        assertEquals(picker.tick(502).replies().size(), 0);
        assertTrue(dispatch.patienceOver);
    }

    @Test
    public void booksAreEmptyOnceAllHasEnded() {
        for (int i = 0; i < 100; i++) {
            script.add(List.of(send("s.0"), send("s.1"), send("s.0")));
            List<Dispatch> out = picker.pick(i, scan("s", null, 2)).send();
            ended(i, out.get(0), new Outcome.Lost(Progress.WRITTEN));
            script.add(List.of(new Action.Answer("s", true), new Action.Cancel("s.0", 1)));
            ended(i, out.get(1), HIT);
            ended(i, out.get(2), new Outcome.Cancelled(Progress.WRITTEN));
        }
        picker.tick(1000);
        assertEquals(picker.booked(), 0);
    }

    @Test
    public void serversThatWereReplacedLeaveNothingBehindAndPartsOutAtThemEndAsUsual() {
        Dispatch dispatch = sent("s");
        for (int i = 0; i < 100; i++) {
            ServerNews old =
                    new ServerNews("n" + i, "127.0.0.1:2", 0, "z", 0, ServerNews.State.GONE);
            picker.report(
                    2,
                    List.of(
                            new Report.ListCame(
                                    i % 2 == 0,
                                    List.of(
                                            old,
                                            new ServerNews(
                                                    "n" + (i + 1),
                                                    "127.0.0.1:2",
                                                    0,
                                                    "z",
                                                    0,
                                                    ServerNews.State.RUNNING)))));
        }
        assertEquals(picker.serversHeld(), 1);
        script.add(List.of(new Action.Answer("s", true)));
        assertEquals(ended(3, dispatch, HIT).replies().size(), 1);
        // Where the decisions still name one of them, nothing goes out.
        script.add(List.of(send("t.0")));
        assertTrue(picker.pick(4, scan("t", null, 1)).send().isEmpty());
    }

    @Test
    public void nextTickIsTheEarliestOfWakingPatienceAndTheScansEnd() {
        script.add(List.of(send("s.0"), new Action.Wake(50), new Action.Wake(90)));
        assertEquals(picker.pick(1, scan("s", null, 1)).nextTickAtMs(), 51.0);
        assertEquals(picker.tick(51).nextTickAtMs(), 401.0);
        assertEquals(picker.tick(401).nextTickAtMs(), 501.0);
    }

    @Test
    public void serverIsClosedToNewPartsOnceTheListSaysSo() {
        ShardServer server = sent("s").server();
        assertTrue(server.running());
        for (ServerNews.State state : ServerNews.State.values()) {
            picker.report(
                    2,
                    List.of(
                            new Report.ListCame(
                                    false,
                                    List.of(
                                            new ServerNews(
                                                    "a", "127.0.0.1:2", 0, "z", 0, state)))));
            assertEquals(server.running(), state == ServerNews.State.RUNNING);
            assertEquals(server.address(), "127.0.0.1:2");
        }
        picker.report(
                3,
                List.of(
                        new Report.ListCame(
                                false,
                                List.of(
                                        new ServerNews(
                                                "a",
                                                "127.0.0.1:2",
                                                0,
                                                "z",
                                                0,
                                                ServerNews.State.RUNNING)))));
        picker.report(4, List.of(new Report.ListCame(true, List.of())));
        assertFalse(server.running());
    }

    /** Else it is lost where something else is reported right when the time has come. */
    @Test
    public void whoeverAsksToBeWokenIsToldByAnyCallThatComesThen() {
        script.add(List.of(new Action.Wake(50)));
        assertEquals(picker.pick(1, scan("s", null, 1)).nextTickAtMs(), 51.0);
        seen.clear();
        picker.report(50, List.of());
        assertFalse(seen.get(0).contains(new Event.Woken()));
        picker.report(51, List.of());
        assertEquals(seen.get(1), List.of(new Event.Woken()));
        assertTrue(picker.report(52, List.of()).nextTickAtMs() > 51);
    }
}
