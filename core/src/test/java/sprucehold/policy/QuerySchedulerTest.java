package sprucehold.policy;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import sprucehold.decision.AttemptOutcome;
import sprucehold.decision.ClusterView;
import sprucehold.decision.Command;
import sprucehold.decision.Deployment;
import sprucehold.decision.Endpoint;
import sprucehold.decision.Event;
import sprucehold.decision.QueryClass;
import sprucehold.decision.Reason;
import sprucehold.decision.SharedLimit;
import sprucehold.decision.SkippedReplica;
import sprucehold.decision.Tenant;

public class QuerySchedulerTest {
    private Play fresh() {
        return new Play();
    }

    @DataProvider
    Object[][] firstWidths() {
        return new Object[][] {
            // type, parts, dispatches of the first round: ceil(n / 0.9), at most k
            {Play.ANY, 9, 8},
            {Play.ANY, 4, 4},
            {Play.ANY, 16, 14},
            {Play.ALL, 5, 5},
            {Play.ONCE, 2, 2},
        };
    }

    @Test(dataProvider = "firstWidths")
    public void firstRoundHasTheDesignsWidth(QueryClass type, int parts, int expected) {
        Play play = fresh().start();
        play.scan("s", type, parts, 4000);
        assertEquals(play.all(Command.SendAttempt.class).size(), expected);
    }

    @DataProvider
    Object[][] furtherRounds() {
        return new Object[][] {
            // completed of the eight sent of nine before the timer, whether the ninth goes when it
            // runs out
            {0, true}, {3, true}, {6, true}, {7, false},
        };
    }

    @Test(dataProvider = "furtherRounds")
    public void roundTimerAsksForMoreWhereMoreIsNeeded(int completed, boolean asked) {
        Play play = fresh();
        play.limits = new Deployment.Limits(1, 1000, false, true, 500);
        play.start().scan("s", Play.ANY, 9, 4000);
        List<String> sent = List.copyOf(play.dispatches().keySet());
        sent.subList(0, completed).forEach(part -> play.end(part, 0, AttemptOutcome.COMPLETED));
        play.waitFor(505);
        assertEquals(play.dispatches().size(), asked ? 9 : 8);
        assertEquals(play.endings(), completed >= 7 ? List.of("answer whole") : List.of());
    }

    @DataProvider
    Object[][] furtherDispatches() {
        return new Object[][] {
            // type, how the first dispatch ended, when, whether the part goes out again
            {Play.ALL, AttemptOutcome.ERROR, 50, true},
            {Play.ALL, AttemptOutcome.UNREACHABLE, 50, true},
            {Play.ONCE, AttemptOutcome.ERROR, 50, false},
            {Play.ONCE, AttemptOutcome.RESET, 50, false},
            {Play.ONCE, AttemptOutcome.TIMED_OUT, 50, false},
            {Play.ONCE, AttemptOutcome.CANCELLED, 50, false},
            {Play.ONCE, AttemptOutcome.UNREACHABLE, 50, true},
            {Play.ONCE, AttemptOutcome.OVERLOADED, 50, true},
            {Play.KEYED, AttemptOutcome.ERROR, 50, true},
            {Play.KEYED, AttemptOutcome.ERROR, 1600, false},
            {Play.KEYED, AttemptOutcome.OVERLOADED, 1600, true},
        };
    }

    @Test(dataProvider = "furtherDispatches")
    public void partGoesAgainOnlyWhereItsTableTypeAllows(
            QueryClass type, AttemptOutcome outcome, double after, boolean again) {
        Play play = fresh();
        play.limits = new Deployment.Limits(3, 1000, false, true, 500);
        play.start().scan("s", type, 1, 4000);
        play.waitFor(after);
        play.end("s/0", 0, outcome);
        assertEquals(play.dispatches().get("s/0").size(), again ? 2 : 1);
    }

    @DataProvider
    Object[][] endings() {
        return new Object[][] {
            // type, parts, completed, how the rest ended (null: still out when the time is over),
            // final answer
            {Play.ALL, 2, 2, null, "answer whole"},
            {Play.ALL, 2, 1, null, "throttle"},
            {Play.ANY, 4, 3, null, "answer whole"},
            {Play.ANY, 4, 2, null, "throttle"},
            {Play.PARTIAL, 4, 2, null, "answer part"},
            {Play.PARTIAL, 4, 1, null, "throttle"},
            {Play.ONCE, 2, 1, null, "abandon"},
            {Play.ONCE, 2, 0, null, "abandon"},
            {Play.ONCE, 1, 0, AttemptOutcome.UNREACHABLE, "throttle"},
            {Play.ONCE, 2, 1, AttemptOutcome.OVERLOADED, "abandon"},
            {Play.ONCE, 2, 0, AttemptOutcome.RESET, "abandon"},
        };
    }

    @Test(dataProvider = "endings")
    public void scanGetsOneHonestAnswerInTime(
            QueryClass type, int parts, int completed, AttemptOutcome rest, String expected) {
        Play play = fresh();
        play.limits = new Deployment.Limits(1, 1000, false, true, 500);
        play.start().scan("s", type, parts, 3000);
        for (int i = 0; i < parts; i++) {
            if (i < completed || rest != null) {
                play.end("s/" + i, 0, i < completed ? AttemptOutcome.COMPLETED : rest);
            }
        }
        play.waitFor(3000);
        assertEquals(play.endings(), List.of(expected));
        int sent = play.all(Command.SendAttempt.class).size();
        play.waitFor(5000);
        assertEquals(
                play.all(Command.SendAttempt.class).size(),
                sent,
                "nothing goes out for an ended scan");
    }

    @Test
    public void secondStepNeedsAnAnswerOfItsOwn() {
        Play play = fresh().start();
        play.scan("s", Play.STEPS, 2, 4000);
        play.end("s/0", 0, AttemptOutcome.COMPLETED);
        play.end("s/1", 0, AttemptOutcome.COMPLETED);
        assertEquals(play.endings(), List.of("answer whole"));
        List<Event> more = play.parts("s+", 2);
        play.tell(more.toArray(new Event[0]));
        play.end("s+/0", 0, AttemptOutcome.COMPLETED);
        assertEquals(play.endings(), List.of("answer whole"));
        play.end("s+/1", 0, AttemptOutcome.COMPLETED);
        assertEquals(play.endings(), List.of("answer whole", "answer whole"));
    }

    @DataProvider
    Object[][] departures() {
        return new Object[][] {
            {Endpoint.State.DRAINING, true},
            {Endpoint.State.GONE, true},
            {Endpoint.State.DRAINING, false},
        };
    }

    @Test(dataProvider = "departures")
    public void nothingGoesToAServerReportedAway(Endpoint.State mode, boolean comesBack) {
        Play play = fresh().start();
        play.tell(new Event.EndpointsUpdated(false, List.of(Play.listing("a", 0, 0, mode))));
        for (int i = 0; i < 20; i++) {
            play.scan("s" + i, Play.ALL, 4, 4000);
        }
        assertTrue(
                play.all(Command.SendAttempt.class).stream()
                        .noneMatch(d -> d.server().equals("a")));
        if (comesBack) {
            play.tell(
                    new Event.EndpointsUpdated(
                            false, List.of(Play.listing("a", 0, 0, Endpoint.State.RUNNING))));
            for (int i = 0; i < 20; i++) {
                play.scan("t" + i, Play.ALL, 4, 4000);
            }
            assertFalse(
                    play.all(Command.SendAttempt.class).stream()
                            .noneMatch(d -> d.server().equals("a")));
        }
    }

    @DataProvider
    Object[][] copies() {
        return new Object[][] {
            // type, whether another scan keeps the other holder busy, dispatches of the late part
            {Play.ALL, false, 2},
            {Play.KEYED, false, 2},
            {Play.ONCE, false, 1},
            {Play.ALL, true, 1},
        };
    }

    /** Copies to busy servers tipped full fleets over (i0d47a2). */
    @Test(dataProvider = "copies")
    public void latePartGetsACopyOnAnIdleServerOnly(QueryClass type, boolean busy, int expected) {
        Play play = fresh().start();
        play.scan("s", type, 1, 4000);
        if (busy) {
            // Held by b and c: with one part at either, the other holder of segment 0 is taken,
            // whichever it is.
            for (int i = 0; i < 4; i++) {
                play.scan("busy" + i, Play.ONCE, 4, 4000);
            }
        }
        play.waitFor(600);
        assertEquals(play.dispatches().get("s/0").size(), expected);
    }

    @Test
    public void copyGoesAsSoonAsAServerIsIdle() {
        Play play = fresh().start();
        play.scan("s", Play.ALL, 1, 4000);
        String first = play.dispatches().get("s/0").get(0);
        String other = first.equals("a") ? "b" : "a";
        play.scan("busy", Play.ONCE, 2, 4000);
        play.scan("busier", Play.ONCE, 2, 4000);
        play.waitFor(600);
        assertEquals(play.dispatches().get("s/0"), List.of(first));
        for (Command.SendAttempt sendAttempt : play.all(Command.SendAttempt.class)) {
            if (sendAttempt.server().equals(other)) {
                play.end(sendAttempt.partId(), 0, AttemptOutcome.COMPLETED);
            }
        }
        assertEquals(play.dispatches().get("s/0"), List.of(first, other));
    }

    @DataProvider
    Object[][] failing() {
        return new Object[][] {
            // failures of server a in a row, how, whether calm scans leave it, whether busy ones do
            {1, AttemptOutcome.RESET, true, false},
            {2, AttemptOutcome.RESET, true, true},
            {3, AttemptOutcome.RESET, true, true},
            {1, AttemptOutcome.UNREACHABLE, true, true},
            {3, AttemptOutcome.OVERLOADED, true, true},
            {3, AttemptOutcome.CANCELLED, false, false},
        };
    }

    /** Among many gatherers each meets a server too seldom for three failures to come in time. */
    @Test(dataProvider = "failing")
    public void failingServerIsLeftThenSetAsideThenTriedAgain(
            int failures, AttemptOutcome how, boolean left, boolean aside) {
        Play calm = failed(failures, how);
        assertEquals(askedAfter(calm, "calm", true), !left);
        calm.waitFor(21_000);
        assertTrue(askedAfter(calm, "later", true));
        assertEquals(askedAfter(failed(failures, how), "busy", false), !aside);
    }

    private Play failed(int failures, AttemptOutcome how) {
        Play play = fresh().start();
        int failed = 0;
        for (int i = 0; failed < failures && i < 40; i++) {
            play.waitFor(20_000);
            play.done.clear();
            play.scan("f" + i, Play.ALL, 4, 4000);
            for (var sent : List.copyOf(play.dispatches().entrySet())) {
                boolean fails = sent.getValue().get(0).equals("a") && failed < failures;
                failed += fails ? 1 : 0;
                play.end(sent.getKey(), 0, fails ? how : AttemptOutcome.COMPLETED);
                if (play.dispatches().get(sent.getKey()).size() > 1) {
                    play.end(sent.getKey(), 1, AttemptOutcome.COMPLETED);
                }
            }
        }
        assertEquals(failed, failures);
        return play;
    }

    private static boolean askedAfter(Play play, String id, boolean completed) {
        play.done.clear();
        for (int i = 0; i < 20; i++) {
            if (completed) {
                completeAll(play, id + i);
            } else {
                play.scan(id + i, Play.ALL, 4, 4000);
            }
        }
        return play.all(Command.SendAttempt.class).stream().anyMatch(d -> d.server().equals("a"));
    }

    private static void completeAll(Play play, String id) {
        play.scan(id, Play.ALL, 4, 4000);
        for (int i = 0; i < 4; i++) {
            play.end(id + "/" + i, 0, AttemptOutcome.COMPLETED);
        }
    }

    @DataProvider
    Object[][] coldServers() {
        return new Object[][] {
            // gatherers, how long ago the server started, the most work of its 1,000 ms that may go
            // there: where a
            // gatherer's part is under one part's work, one part by lot
            {1, 10, 410.0}, {2, 10, 250.0}, {1, 5000, 1250.0}, {1, 20_000, 1e9},
        };
    }

    /** Parts are held to take a quarter of their target time, 250 ms, while nothing is known. */
    @Test(dataProvider = "coldServers")
    public void coldServerGetsNoMoreThanThisGatherersPart(int gatherers, double age, double most) {
        Play play = fresh();
        play.gatherers = gatherers;
        play.now = 100_000;
        play.start();
        play.tell(
                new Event.EndpointsUpdated(
                        false,
                        List.of(Play.listing("a", 0, play.now - age, Endpoint.State.RUNNING))));
        for (int i = 0; i < 40; i++) {
            play.scan("s" + i, Play.ALL, 4, 4000);
            play.waitFor(5);
        }
        long toCold =
                play.all(Command.SendAttempt.class).stream()
                        .filter(d -> d.server().equals("a"))
                        .count();
        assertTrue(250 * toCold <= most, toCold + " parts");
        assertTrue(most < 250 || toCold > 0);
    }

    @DataProvider
    Object[][] fleets() {
        var rows = new ArrayList<Object[]>();
        for (int gatherers : new int[] {2, 5, 20, 30, 60, 100}) {
            for (double scansAWindow : new double[] {0.3, 1, 8}) {
                rows.add(new Object[] {gatherers, scansAWindow});
            }
        }
        return rows.toArray(Object[][]::new);
    }

    /**
     * Beyond the N calls of mean work that a cold server may get in a window, twice the root of N
     * and two are chance.
     */
    @Test(dataProvider = "fleets")
    public void coldServerStandsUnderTheSumOfAllGatherers(int gatherers, double scansAWindow) {
        double startedAt = 100_000;
        var sentAt = new ArrayList<Double>();
        for (int number = 0; number < gatherers; number++) {
            sentAt.addAll(sendsToAServerThatStarts(gatherers, number, scansAWindow, startedAt));
        }
        Collections.sort(sentAt);
        int first = 0;
        double fullest = 0;
        for (int last = 0; last < sentAt.size(); last++) {
            while (sentAt.get(first) <= sentAt.get(last) - 1000) {
                first++;
            }
            // Parts take 50 ms; the server may get twice what it can do, a fifth of a core and more
            // from second to second.
            double calls = 2 * (0.2 + 0.8 * (sentAt.get(last) - startedAt) / 10_000) * 1000 / 50;
            fullest = Math.max(fullest, (last - first + 1) / (calls + 2 * Math.sqrt(calls) + 2));
        }
        assertTrue(fullest <= 1, "got " + fullest + " times what it may");
        double scans = gatherers * scansAWindow * 10;
        assertTrue(sentAt.size() >= Math.min(20, scans / 2), "it is used: " + sentAt.size());
    }

    /**
     * When one of many gatherers sends to server a, which has just started, in the time until it is
     * warm.
     */
    private List<Double> sendsToAServerThatStarts(
            int gatherers, int number, double scansAWindow, double startedAt) {
        Play play = fresh();
        play.seed = number * 0x9E3779B97F4A7C15L;
        play.gatherers = gatherers;
        play.now = startedAt - 10_000;
        play.start();
        double gap = 1000 / scansAWindow;
        double at = play.now + gap * number / gatherers;
        boolean listed = false;
        var sentAt = new ArrayList<Double>();
        for (int i = 0; at < startedAt + 10_000; i++, at += gap) {
            play.waitFor(at - play.now);
            if (!listed && play.now > startedAt) {
                listed = true;
                play.tell(
                        new Event.EndpointsUpdated(
                                false,
                                List.of(Play.listing("a", 0, startedAt, Endpoint.State.RUNNING))));
            }
            play.done.clear();
            play.scan("s" + i, Play.ALL, 4, 4000);
            for (String part : List.copyOf(play.dispatches().keySet())) {
                play.end(part, 0, AttemptOutcome.COMPLETED);
            }
            if (listed) {
                play.dispatches().values().stream()
                        .filter(servers -> servers.contains("a"))
                        .forEach(sent -> sentAt.add(play.now));
            }
        }
        return sentAt;
    }

    private static Event.ClusterViewChanged told(
            int gatherers, Map<SharedLimit, Integer> room, Map<String, Double> trouble) {
        return new Event.ClusterViewChanged(new ClusterView(gatherers, room, trouble));
    }

    private static long sentTo(Play play, String server) {
        return play.all(Command.SendAttempt.class).stream()
                .filter(d -> d.server().equals(server))
                .count();
    }

    @DataProvider
    Object[][] sharedRoom() {
        return new Object[][] {
            // room at the cold server in milliseconds of work, parts of 250 ms that go there
            {0, 0}, {249, 0}, {250, 1}, {499, 1}, {500, 2},
        };
    }

    @Test(dataProvider = "sharedRoom")
    public void coldServerGetsNoMoreThanTheRoomThatIsShared(int room, int parts) {
        Play play = fresh();
        play.gatherers = 100;
        play.now = 100_000;
        play.start();
        play.tell(
                told(0, Map.of(SharedLimit.slowStart("a"), room), Map.of()),
                new Event.EndpointsUpdated(
                        false,
                        List.of(Play.listing("a", 0, play.now - 10, Endpoint.State.RUNNING))));
        // Three, since with twelve parts' times known a part is no longer held to take a quarter of
        // its target time.
        for (int i = 0; i < 3; i++) {
            play.scan("s" + i, Play.ALL, 4, 4000);
            for (int part = 0; part < 4; part++) {
                if (play.dispatches().containsKey("s" + i + "/" + part)) {
                    play.end("s" + i + "/" + part, 0, AttemptOutcome.COMPLETED);
                }
            }
        }
        assertEquals(sentTo(play, "a"), parts);
        assertEquals(
                play.all(Command.ConsumeAllowance.class),
                Collections.nCopies(
                        parts, new Command.ConsumeAllowance(SharedLimit.slowStart("a"), 250)));
    }

    @Test
    public void furtherDispatchesStopWhereNoneIsLeftOfWhatIsShared() {
        Play play = fresh().start();
        play.tell(told(0, Map.of(SharedLimit.RETRIES, 2), Map.of()));
        for (int i = 0; i < 10; i++) {
            play.scan("s" + i, Play.ALL, 1, 4000);
            if (play.dispatches().containsKey("s" + i + "/0")) {
                play.end("s" + i + "/0", 0, AttemptOutcome.ERROR);
            }
        }
        assertEquals(
                play.dispatches().values().stream().mapToInt(sent -> sent.size() - 1).sum(), 2);
        assertEquals(
                play.all(Command.ConsumeAllowance.class),
                Collections.nCopies(2, new Command.ConsumeAllowance(SharedLimit.RETRIES, 1)));
    }

    @Test
    public void scansWithinACustomersShareAreCountedAgainstWhatIsShared() {
        Play play = fresh();
        play.customers = List.of(new Tenant("acme", 10), new Tenant("bolt", 1000));
        play.start();
        play.tell(told(0, Map.of(SharedLimit.tenantQuota("acme"), 3), Map.of()));
        for (int i = 0; i < 8; i++) {
            play.scan("s" + i, Play.ALL, 1, 4000);
            play.end("s" + i + "/0", 0, AttemptOutcome.COMPLETED);
        }
        assertEquals(
                play.all(Command.ConsumeAllowance.class),
                Collections.nCopies(
                        3, new Command.ConsumeAllowance(SharedLimit.tenantQuota("acme"), 1)));
    }

    @DataProvider
    Object[][] othersTrouble() {
        return new Object[][] {
            // what others saw of a, of b, which hold segment 0: whether a part goes to a
            {Map.of(), true},
            {Map.of("a", 0.5), true},
            {Map.of("a", 0.6), false},
            {Map.of("b", 1.0), true},
            {Map.of("a", 1.0, "b", 1.0), true},
        };
    }

    @Test(dataProvider = "othersTrouble")
    public void serverThatOthersSeeFailIsLeftForOneThatTheyDont(
            Map<String, Double> trouble, boolean goes) {
        boolean went = false;
        for (int seed = 0; seed < 20; seed++) {
            Play play = fresh();
            play.seed = seed * 0x9E3779B97F4A7C15L;
            play.start().tell(told(0, Map.of(), trouble));
            play.scan("s", Play.ALL, 1, 4000);
            assertEquals(
                    play.all(Command.SendAttempt.class).size(),
                    1,
                    "a segment's last holders are never all left aside");
            went |= sentTo(play, "a") > 0;
        }
        assertEquals(went, goes);
    }

    @Test
    public void whatOthersToldIsForgottenWithTheNextWord() {
        Play play = fresh().start();
        play.tell(told(9, Map.of(SharedLimit.RETRIES, 0), Map.of("a", 1.0)));
        play.tell(new Event.ClusterViewChanged(ClusterView.NONE));
        play.scan("s", Play.ALL, 1, 4000);
        play.end("s/0", 0, AttemptOutcome.ERROR);
        assertEquals(play.dispatches().get("s/0").size(), 2);
        assertEquals(play.all(Command.ConsumeAllowance.class), List.of());
    }

    @Test
    public void furtherDispatchesStayWithinTheirBudget() {
        Play play = fresh();
        play.budget = new Deployment.RetryBudget(2, 0.1, 10_000);
        play.start();
        for (int i = 0; i < 10; i++) {
            play.scan("s" + i, Play.ALL, 1, 4000);
            if (play.dispatches().containsKey("s" + i + "/0")) {
                play.end("s" + i + "/0", 0, AttemptOutcome.ERROR);
            }
        }
        long further = play.dispatches().values().stream().mapToInt(sent -> sent.size() - 1).sum();
        // Ten scans of one part are twenty taken: two free and a tenth of each.
        assertTrue(further >= 2 && further <= 4, further + " further");
    }

    @Test
    public void scanWithoutRoomWaitsAndIsThrottledBeforeAnyWork() {
        Play play = fresh().start();
        for (int i = 0; i < 12; i++) {
            play.scan("s" + i, Play.ALL, 4, 4000);
        }
        long begun = play.dispatches().size() / 4;
        assertTrue(begun < 12, begun + " begun");
        assertEquals(play.endings(), List.of());
        play.waitFor(260);
        assertEquals(play.endings().size(), 12 - begun);
        assertEquals(play.dispatches().size(), 4 * begun);
    }

    @Test
    public void partsBeyondTheNeedDontQueueAtBusyServers() {
        Play play = fresh().start();
        for (int i = 0; i < 2; i++) {
            play.scan("busy" + i, Play.ONCE, 4, 4000);
        }
        play.done.clear();
        play.scan("s", Play.ANY, 4, 4000);
        assertEquals(play.dispatches().size(), 3);
    }

    @Test
    public void segmentWithNoHolderWaitsForOne() {
        Play play = fresh().start();
        play.tell(
                new Event.EndpointsUpdated(
                        false,
                        List.of(
                                Play.listing("a", 0, 0, Endpoint.State.GONE),
                                Play.listing("b", 1, 0, Endpoint.State.GONE))));
        play.scan("s", Play.ALL, 1, 4000);
        assertEquals(play.endings(), List.of());
        play.waitFor(1000);
        play.tell(
                new Event.EndpointsUpdated(
                        false, List.of(Play.listing("b", 1, 0, Endpoint.State.RUNNING))));
        assertEquals(play.dispatches().get("s/0"), List.of("b"));
    }

    @Test
    public void listIsAskedForWithGrowingWaitsWithinItsTime() {
        Play play = fresh();
        play.listAccess = new Deployment.EndpointSubscription(true, 10_000);
        play.start();
        assertEquals(play.all(Command.SubscribeToEndpoints.class).size(), 1);
        double last = play.now;
        double longest = 0;
        int asked = 1;
        for (int i = 0; i < 12; i++) {
            play.tell(new Event.EndpointsUnavailable());
            while (play.all(Command.SubscribeToEndpoints.class).size() == asked) {
                play.waitFor(50);
            }
            asked++;
            longest = Math.max(longest, play.now - last);
            last = play.now;
        }
        assertTrue(longest > 2000 && longest < 10_000, longest + " ms");
    }

    @DataProvider
    Object[][] hurriedClients() {
        return new Object[][] {
            // the client's time left, whether its scan is begun, where parts usually take 50 ms
            {0.0, false}, {7.0, false}, {30.0, false}, {150.0, true}, {4000.0, true},
        };
    }

    /** A scan whose client leaves before any answer takes no server's time (i8abe47). */
    @Test(dataProvider = "hurriedClients")
    public void scanThatCannotBeAnsweredInTimeIsTurnedAwayOnArrival(
            double timeLeft, boolean begun) {
        Play play = fresh().start();
        for (int i = 0; i < 12; i++) {
            completeAll(play, "t" + i);
        }
        play.done.clear();
        play.scan("s", Play.ALL, 1, timeLeft);
        assertEquals(play.dispatches().containsKey("s/0"), begun);
        assertEquals(play.endings(), begun ? List.of() : List.of("throttle"));
    }

    /** Time-outs of hurried clients aren't their servers' failures (i8abe47). */
    @Test
    public void timeOutBeforeAPartIsLateIsNotHeldAgainstItsServer() {
        Play play = fresh().start();
        for (int i = 0; i < 12; i++) {
            play.scan("s" + i, Play.ONCE, 1, 200);
            play.waitFor(185);
            play.end("s" + i + "/0", 0, AttemptOutcome.TIMED_OUT);
        }
        play.done.clear();
        for (int i = 0; i < 20; i++) {
            completeAll(play, "t" + i);
        }
        assertEquals(
                play.all(Command.SendAttempt.class).stream()
                        .map(Command.SendAttempt::server)
                        .distinct()
                        .count(),
                4);
    }

    @Test
    public void nonReplayablePartLeavesAServerThatHasJustFailed() {
        for (int i = 0; i < 8; i++) {
            Play play = fresh().start();
            play.scan("f", Play.ALL, 1, 4000);
            String failed = play.dispatches().get("f/0").get(0);
            play.end("f/0", 0, AttemptOutcome.RESET);
            play.end("f/0", 1, AttemptOutcome.COMPLETED);
            play.scan("s", Play.ONCE, 1, 4000);
            assertFalse(play.dispatches().get("s/0").contains(failed));
        }
    }

    @Test
    public void answerInPartGoesOutAtTheTargetTime() {
        Play play = fresh().start();
        play.scan("s", Play.PARTIAL, 4, 4000);
        play.end("s/0", 0, AttemptOutcome.COMPLETED);
        play.end("s/1", 0, AttemptOutcome.COMPLETED);
        play.waitFor(950);
        assertEquals(play.endings(), List.of());
        play.waitFor(50);
        assertEquals(play.endings(), List.of("answer part"));
    }

    @Test
    public void waitingScansMakeRoomForNewOnes() {
        Play play = fresh();
        play.limits = new Deployment.Limits(3, 60, true, true, 500);
        play.start();
        for (int i = 0; i < 12; i++) {
            play.scan("s" + i, Play.ALL, 4, 4000);
        }
        // Twelve scans of four parts are sixty held; six of those not begun are enough to let go.
        assertTrue(
                play.endings().size() >= 1 && play.endings().stream().allMatch("throttle"::equals));
    }

    /**
     * A part that later ones have overtaken is lost, so its copy needn't wait for an idle server
     * (i7b02a7).
     */
    @Test(dataProvider = "overtaking")
    public void overtakenPartGetsACopyOnABusyServer(boolean overtaken) {
        Play play = fresh().start();
        play.scan("s", Play.ALL, 1, 4000);
        String first = play.dispatches().get("s/0").get(0);
        play.waitFor(5);
        play.scan("busy", Play.ONCE, 4, 4000);
        for (Command.SendAttempt sendAttempt : play.all(Command.SendAttempt.class)) {
            if (overtaken
                    && sendAttempt.server().equals(first)
                    && sendAttempt.partId().startsWith("busy")) {
                play.end(sendAttempt.partId(), 0, AttemptOutcome.COMPLETED);
            }
        }
        play.waitFor(600);
        assertEquals(play.dispatches().get("s/0").size(), overtaken ? 2 : 1);
    }

    @DataProvider
    Object[][] overtaking() {
        return new Object[][] {{true}, {false}};
    }

    @DataProvider
    Object[][] brokenParts() {
        return new Object[][] {
            // how each of two parts ends (null: stays out), dispatches of the first, final answer
            {AttemptOutcome.RESET, AttemptOutcome.COMPLETED, 2, List.of()},
            {AttemptOutcome.RESET, null, 1, List.of()},
            {AttemptOutcome.RESET, AttemptOutcome.RESET, 1, List.of("throttle")},
            {AttemptOutcome.ERROR, null, 2, List.of()},
        };
    }

    /**
     * Scans that bring down whatever server begins one of their parts mustn't go on to the next
     * holder.
     */
    @Test(dataProvider = "brokenParts")
    public void brokenPartGoesAgainOnlyOnceAnotherIsCompleted(
            AttemptOutcome one, AttemptOutcome other, int sent, List<String> ends) {
        Play play = fresh().start();
        play.scan("s", Play.ALL, 2, 4000);
        play.end("s/0", 0, one);
        play.waitFor(50);
        if (other != null) {
            play.end("s/1", 0, other);
        }
        play.waitFor(50);
        assertEquals(play.dispatches().get("s/0").size(), sent);
        assertEquals(play.endings(), ends);
    }

    /**
     * After a scan that broke all its connections its customer's next ones begin with one part
     * (verhaegen's poison).
     */
    @Test
    public void customerOfABrokenScanBeginsWithOnePart() {
        Play play = fresh().start();
        play.scan("s", Play.ALL, 4, 4000);
        for (int i = 0; i < 4; i++) {
            play.end("s/" + i, 0, AttemptOutcome.RESET);
        }
        play.waitFor(10);
        play.scan("t", Play.ALL, 4, 4000);
        assertEquals(
                play.dispatches().keySet().stream().filter(part -> part.startsWith("t")).count(),
                1);
        String canary = play.all(Command.SendAttempt.class).get(4).partId();
        play.end(canary, 0, AttemptOutcome.COMPLETED);
        assertEquals(
                play.dispatches().keySet().stream().filter(part -> part.startsWith("t")).count(),
                4);
    }

    @DataProvider
    Object[][] mixes() {
        return new Object[][] {
            // gatherers, scans of the flooding customer for one of the other, whether its last
            // waits behind the other's
            {1, 1, false}, {100, 1, false}, {100, 12, true},
        };
    }

    /**
     * Two customers of equal share: the mix tells of a flood, however little of the traffic comes
     * here.
     */
    @Test(dataProvider = "mixes")
    public void floodingCustomerWaitsBehindOthers(int gatherers, int flood, boolean behind) {
        Play play = fresh();
        play.gatherers = gatherers;
        play.customers = List.of(new Tenant("x", 10), new Tenant("y", 10));
        play.start();
        for (int i = 0; i < 10; i++) {
            for (int j = 0; j < flood; j++) {
                completeAll(play, "x" + i + "-" + j);
            }
            play.customers = List.of(play.customers.get(1), play.customers.get(0));
            completeAll(play, "y" + i);
            play.customers = List.of(play.customers.get(1), play.customers.get(0));
        }
        // Over its share a customer has half a server's room, two parts of four.
        int begun = 0;
        for (int i = 0; i < 8; i++) {
            play.scan("last" + i, Play.ONCE, 1, 4000);
            begun += play.dispatches().containsKey("last" + i + "/0") ? 1 : 0;
        }
        assertEquals(begun < 8, behind, begun + " begun");
    }

    /** Trouble on the way to a zone: a server there is left though it has never failed. */
    @Test(dataProvider = "overtaking")
    public void zoneMostOfWhosePartsAreLateIsLeft(boolean late) {
        Play play = fresh();
        play.now = 100_000;
        play.start();
        play.tell(new Event.EndpointsUpdated(false, List.of(far("a", 0, 0), far("c", 2, 0))));
        for (int i = 0; i < 30; i++) {
            play.done.clear();
            play.scan("s" + i, Play.ONCE, 4, 4000);
            var sent = play.dispatches();
            sent.forEach(
                    (part, servers) -> {
                        if (!late || !"ac".contains(servers.get(0))) {
                            play.end(part, 0, AttemptOutcome.COMPLETED);
                        }
                    });
            play.waitFor(6000);
            sent.forEach((part, servers) -> play.end(part, 0, AttemptOutcome.COMPLETED));
        }
        // Started again, a has no failures of its own any more.
        play.tell(new Event.EndpointsUpdated(false, List.of(far("a", 0, 1))));
        assertEquals(askedAfter(play, "t", true), !late);
    }

    private static Endpoint far(String server, int cell, double startedAt) {
        return new Endpoint(server, cell, "far", startedAt, Endpoint.State.RUNNING);
    }

    @DataProvider
    Object[][] crowds() {
        return new Object[][] {
            // gatherers, how long parts take, whether scans are turned away on arrival
            {100, 700, true}, {100, 20, false}, {3, 700, false},
        };
    }

    /** Among many gatherers a full fleet shows in times alone (i0feb8a). */
    @Test(dataProvider = "crowds")
    public void scansAreTurnedAwayWhileTheFleetIsSlow(
            int gatherers, double took, boolean turnedAway) {
        Play play = fresh();
        play.gatherers = gatherers;
        play.start();
        boolean any = false;
        for (int i = 0; i < 40; i++) {
            play.done.clear();
            for (int j = 0; j < 4; j++) {
                List<Command> actions = play.scan("s" + i + "-" + j, Play.ALL, 4, 4000);
                any |= actions.stream().anyMatch(Command.RejectQuery.class::isInstance);
            }
            play.waitFor(took);
            play.dispatches().forEach((part, sent) -> play.end(part, 0, AttemptOutcome.COMPLETED));
        }
        assertEquals(any, turnedAway);
    }

    /**
     * A scan of many parts meets many slow servers at once: as many as half its parts may get a
     * copy.
     */
    @Test
    public void largeScanSavesUpCopiesForHalfItsParts() {
        Play play = fresh();
        play.layout = new Deployment.ShardLayout(64, 2, 1);
        play.start();
        var entries = new ArrayList<Endpoint>();
        for (int cell = 0; cell < 64; cell++) {
            entries.add(
                    Play.listing(String.format("s%02d", cell), cell, 0, Endpoint.State.RUNNING));
        }
        play.tell(new Event.EndpointsUpdated(true, entries));
        for (int i = 0; i < 4; i++) {
            play.scan("warm" + i, Play.ALL, 64, 4000);
            play.dispatches().forEach((part, sent) -> play.end(part, 0, AttemptOutcome.COMPLETED));
            play.done.clear();
        }
        play.scan("s", Play.ALL, 64, 4000);
        for (int i = 0; i < 64; i++) {
            if (i % 3 != 0) {
                play.end("s/" + i, 0, AttemptOutcome.COMPLETED);
            }
        }
        play.waitFor(600);
        long copied = play.dispatches().values().stream().filter(sent -> sent.size() > 1).count();
        assertTrue(copied > 15, copied + " copies");
    }

    /**
     * Every holder of a part failed twice just now: a stretch that is full, unseen by each of many
     * gatherers.
     */
    @Test(dataProvider = "overtaking")
    public void scanWaitsWhileEveryHolderHasJustFailed(boolean many) {
        Play play = fresh();
        play.gatherers = many ? 100 : 1;
        play.start();
        for (int i = 0; i < 2; i++) {
            play.scan("f" + i, Play.ALL, 1, 4000);
            play.end("f" + i + "/0", 0, AttemptOutcome.ERROR);
            play.end("f" + i + "/0", 1, AttemptOutcome.ERROR);
            play.now++;
        }
        play.scan("s", Play.ALL, 1, 4000);
        assertEquals(play.dispatches().containsKey("s/0"), !many);
    }

    @DataProvider
    Object[][] alarms() {
        return new Object[][] {{500, true}, {509, true}, {560, false}};
    }

    /**
     * A gatherer that was held up itself may have answers lying unread; what it then sees late
     * isn't the server's.
     */
    @Test(dataProvider = "alarms")
    public void alarmThatComesLateItselfMakesNoPartLate(double wokenAfter, boolean copied) {
        Play play = fresh().start();
        play.scan("s", Play.ALL, 1, 4000);
        play.now += wokenAfter;
        play.tell(new Event.WakeUp());
        assertEquals(play.dispatches().get("s/0").size(), copied ? 2 : 1);
        play.now += 65;
        play.tell(new Event.WakeUp());
        assertEquals(play.dispatches().get("s/0").size(), 2);
    }

    /**
     * Each call while a scan waits for room set a further alarm, and each of those a next: all time
     * went into them.
     */
    @Test
    public void waitingScansAreLookedAtAgainNoMoreOftenForAllThatHappensMeanwhile() {
        Play play = fresh().start();
        for (int cell = 0; cell < 4; cell++) {
            play.tell(
                    new Event.EndpointsUpdated(
                            false,
                            List.of(
                                    Play.listing(
                                            "abcd".substring(cell, cell + 1),
                                            cell,
                                            0,
                                            Endpoint.State.DRAINING))));
        }
        play.scan("s", Play.ALL, 1, 4000);
        for (int i = 0; i < 100; i++) {
            play.now++;
            play.tell(new Event.ClientDisconnected("nobody"));
        }
        play.done.clear();
        play.waitFor(100);
        assertTrue(
                play.all(Command.ScheduleWakeUp.class).size() <= 5,
                play.all(Command.ScheduleWakeUp.class).size() + " wakes in 100 ms");
    }

    /** A flood of scans without room cost more to look through, at each call, than to serve. */
    @Test
    public void waitingScansAreLookedThroughOnceATick() {
        Play play = fresh().start();
        for (int i = 0; i < 12; i++) {
            play.scan("s" + i, Play.ALL, 4, 4000);
        }
        play.now += 6;
        play.tell(new Event.ClientDisconnected("nobody"));
        play.done.clear();
        play.now += 2;
        // Room comes, and is seen with the next tick.
        for (int i = 0; i < 4; i++) {
            play.end("s0/" + i, 0, AttemptOutcome.COMPLETED);
            play.end("s1/" + i, 0, AttemptOutcome.COMPLETED);
        }
        assertEquals(play.dispatches().size(), 0);
        play.now += 4;
        play.tell(new Event.ClientDisconnected("nobody"));
        assertTrue(play.dispatches().size() > 0);
    }

    private Play threeOutAtOneServer(AttemptOutcome outcome, double apart) {
        Play play = fresh().start();
        var out = new ArrayList<Event>();
        for (int i = 0; out.size() < 3; i++) {
            play.done.clear();
            play.scan("f" + i, Play.ALL, 4, 4000);
            for (var sent : List.copyOf(play.dispatches().entrySet())) {
                if (sent.getValue().get(0).equals("a") && out.size() < 3) {
                    out.add(new Event.AttemptEnded(sent.getKey(), 0, outcome, 50, null));
                } else {
                    play.end(sent.getKey(), 0, AttemptOutcome.COMPLETED);
                }
            }
        }
        play.done.clear();
        out.forEach(
                ended -> {
                    play.tell(ended);
                    play.now += apart;
                });
        // What went out again is completed elsewhere.
        List.copyOf(play.dispatches().keySet())
                .forEach(part -> play.end(part, 1, AttemptOutcome.COMPLETED));
        return play;
    }

    @DataProvider
    Object[][] together() {
        return new Object[][] {
            {AttemptOutcome.RESET, 0, false},
            {AttemptOutcome.ERROR, 0, false},
            {AttemptOutcome.RESET, 1, true},
            {AttemptOutcome.ERROR, 1, true},
            {AttemptOutcome.UNREACHABLE, 0, true}
        };
    }

    /** One answer that can't be read ends all that is out on its connection. */
    @Test(dataProvider = "together")
    public void partsThatEndTogetherAreOneFailureOfTheirServer(
            AttemptOutcome outcome, double apart, boolean aside) {
        assertEquals(askedAfter(threeOutAtOneServer(outcome, apart), "busy", false), !aside);
    }

    @DataProvider
    Object[][] returns() {
        return new Object[][] {{29_000, false}, {31_000, true}};
    }

    /**
     * Fleets that are replaced by servers of new names must leave nothing behind; one that blinks
     * is known again.
     */
    @Test(dataProvider = "returns")
    public void serverGoneForLongIsForgotten(double goneFor, boolean forgotten) {
        Play play = threeOutAtOneServer(AttemptOutcome.ERROR, 1);
        play.tell(
                new Event.EndpointsUpdated(
                        false, List.of(Play.listing("a", 0, 0, Endpoint.State.GONE))));
        play.waitFor(goneFor);
        play.tell(
                new Event.EndpointsUpdated(
                        false, List.of(Play.listing("b", 1, 0, Endpoint.State.RUNNING))));
        play.tell(
                new Event.EndpointsUpdated(
                        false, List.of(Play.listing("a", 0, 0, Endpoint.State.RUNNING))));
        // Three failures in its books count as three parts out.
        play.done.clear();
        for (int i = 0; i < 3; i++) {
            play.scan("s" + i, Play.ALL, 1, 4000);
        }
        assertEquals(
                play.all(Command.SendAttempt.class).stream().anyMatch(d -> d.server().equals("a")),
                forgotten);
    }

    @Test
    public void eachRoundAndFurtherTrySaysWhy() {
        Play play = fresh();
        play.limits = new Deployment.Limits(3, 1000, false, true, 500);
        play.start().scan("s", Play.ANY, 9, 4000);
        List<Command.SendAttempt> first = play.all(Command.SendAttempt.class);
        assertTrue(
                first.stream().allMatch(d -> d.reason() == Reason.FIRST_ROUND), first.toString());
        play.end(first.get(0).partId(), 0, AttemptOutcome.COMPLETED);
        play.done.clear();
        play.end(first.get(1).partId(), 0, AttemptOutcome.OVERLOADED);
        play.end(first.get(2).partId(), 0, AttemptOutcome.ERROR);
        play.waitFor(505);
        List<Command.SendAttempt> later = play.all(Command.SendAttempt.class);
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
    public void afterAnEmptyRoundAllGoAndSaySo() {
        Play play = fresh();
        play.limits = new Deployment.Limits(1, 1000, false, true, 500);
        play.start().scan("s", Play.ANY, 9, 4000);
        play.done.clear();
        play.waitFor(505);
        assertEquals(
                play.all(Command.SendAttempt.class).stream().map(Command::reason).toList(),
                List.of(Reason.ROUND_AFTER_EMPTY));
    }

    @Test
    public void drainingHolderIsNamedAsPassedOver() {
        Play play = fresh().start();
        play.tell(
                new Event.EndpointsUpdated(
                        false, List.of(Play.listing("a", 0, 0, Endpoint.State.DRAINING))));
        play.done.clear();
        // By chance one of the two positions is taken; at one of them segment 0 would be a's.
        for (int i = 0; i < 8; i++) {
            play.scan("s" + i, Play.ALL, 1, 4000);
            play.end("s" + i + "/0", 0, AttemptOutcome.COMPLETED);
        }
        List<List<SkippedReplica>> passed =
                play.all(Command.SendAttempt.class).stream()
                        .map(Command.SendAttempt::skipped)
                        .filter(list -> !list.isEmpty())
                        .toList();
        assertFalse(passed.isEmpty());
        assertTrue(
                passed.stream()
                        .allMatch(
                                List.of(new SkippedReplica("a", SkippedReplica.Cause.DRAINING))
                                        ::equals));
    }

    @DataProvider
    Object[][] endReasons() {
        return new Object[][] {
            // type, how its one part's first dispatch ends (null: not at all), reason of the final
            // answer
            {Play.ALL, AttemptOutcome.COMPLETED, Reason.COMPLETE},
            {Play.ONCE, AttemptOutcome.ERROR, Reason.BELOW_MINIMUM_COVERAGE},
            {Play.ONCE, AttemptOutcome.RESET, Reason.ALL_CONNECTIONS_RESET},
            {Play.ONCE, null, Reason.DEADLINE},
        };
    }

    @Test(dataProvider = "endReasons")
    public void finalAnswerSaysWhy(QueryClass type, AttemptOutcome outcome, Reason reason) {
        Play play = fresh().start();
        play.scan("s", type, 1, 4000);
        if (outcome != null) {
            play.end("s/0", 0, outcome);
        }
        play.waitFor(4000);
        List<Reason> reasons =
                play.done.stream()
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
    public void whatIsCalledOffSaysWhy() {
        Play play = fresh().start();
        play.scan("s", Play.ALL, 2, 4000);
        play.tell(new Event.ClientDisconnected("s"));
        assertEquals(
                play.all(Command.CancelAttempt.class).stream().map(Command::reason).toList(),
                List.of(Reason.CLIENT_DISCONNECTED, Reason.CLIENT_DISCONNECTED));
    }

    private static Deployment facts(Play play, List<QueryClass> types) {
        return new Deployment(
                1,
                "z",
                5,
                0.2,
                types,
                play.customers,
                play.layout,
                play.limits,
                play.coldRule,
                play.budget,
                play.listAccess);
    }

    private static QueryClass repeat(
            QueryClass type, QueryClass.Idempotence repeat, double window) {
        return new QueryClass(
                type.name(), repeat, type.latencyObjectiveMs(), 1, 0.1, window, 1, 1, 0);
    }

    @DataProvider
    Object[][] retyped() {
        QueryClass.Idempotence replayable = QueryClass.Idempotence.IDEMPOTENT;
        QueryClass.Idempotence once = QueryClass.Idempotence.NON_IDEMPOTENT;
        return new Object[][] {
            // type as the scan was taken, what it turns into while its part is out, whether an
            // error is tried again
            {Play.ONCE, repeat(Play.ONCE, replayable, 0), false},
            {Play.ALL, repeat(Play.ALL, once, 0), false},
            {Play.ALL, repeat(Play.ALL, replayable, 0), true},
            {Play.KEYED, repeat(Play.KEYED, replayable, 0), true},
            {Play.KEYED, repeat(Play.KEYED, QueryClass.Idempotence.DEDUPLICATED, 20), false},
            {Play.KEYED, repeat(Play.KEYED, QueryClass.Idempotence.DEDUPLICATED, 9000), true},
        };
    }

    @Test(dataProvider = "retyped")
    public void partThatIsOutIsNeverFreedByAChangeOfItsType(
            QueryClass before, QueryClass after, boolean again) {
        Play play = fresh().start();
        play.scan("s", before, 1, 4000);
        play.tell(new Event.DeploymentChanged(facts(play, List.of(after))));
        play.now += 50;
        play.end("s/0", 0, AttemptOutcome.ERROR);
        assertEquals(play.dispatches().get("s/0").size(), again ? 2 : 1);
    }

    @Test
    public void keyedWindowNeverGrowsOverADispatchAlreadyMade() {
        Play play = fresh().start();
        play.scan("s", Play.KEYED, 1, 4000);
        play.tell(
                new Event.DeploymentChanged(
                        facts(
                                play,
                                List.of(
                                        repeat(
                                                Play.KEYED,
                                                QueryClass.Idempotence.DEDUPLICATED,
                                                9000)))));
        play.now += 1600;
        play.end("s/0", 0, AttemptOutcome.ERROR);
        assertEquals(play.dispatches().get("s/0").size(), 1);
    }

    @Test
    public void scansTakenAfterAChangeGoByTheNewFactsAndOpenOnesByTheirs() {
        Play play = fresh().start();
        var wide =
                new QueryClass("any", QueryClass.Idempotence.IDEMPOTENT, 1000, 1, 0.1, 0, 1, 1, 0);
        play.scan("old", Play.ANY, 9, 4000);
        play.tell(new Event.DeploymentChanged(facts(play, List.of(wide))));
        play.done.clear();
        play.scan("new", wide, 4, 4000);
        assertEquals(play.all(Command.SendAttempt.class).size(), 4);
        for (int i = 0; i < 7; i++) {
            play.end("old/" + i, 0, AttemptOutcome.COMPLETED);
        }
        assertTrue(
                play.endings().contains("answer whole"),
                "seven of nine were enough when it was taken");
    }

    @Test
    public void customerRemovedWithScansOpenLeavesThemServed() {
        Play play = fresh();
        play.customers = List.of(new Tenant("acme", 10));
        play.start().scan("s", Play.ALL, 1, 4000);
        Deployment now = facts(play, List.of(Play.ALL));
        play.tell(
                new Event.DeploymentChanged(
                        new Deployment(
                                1,
                                "z",
                                5,
                                0.2,
                                List.of(Play.ALL),
                                List.of(),
                                now.layout(),
                                now.limits(),
                                now.slowStart(),
                                now.retryBudget(),
                                now.endpointSubscription())));
        play.end("s/0", 0, AttemptOutcome.COMPLETED);
        assertEquals(play.endings(), List.of("answer whole"));
        play.customers = List.of();
        play.scan("t", Play.ALL, 1, 4000);
        play.end("t/0", 0, AttemptOutcome.COMPLETED);
        assertEquals(play.endings(), List.of("answer whole", "answer whole"));
    }
}
