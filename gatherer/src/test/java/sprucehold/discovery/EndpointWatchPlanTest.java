package sprucehold.discovery;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * When each change of the list counts as told, and when the gatherer knows it, on a clock of its
 * own.
 */
public class EndpointWatchPlanTest {
    private static final double WAY = 1;

    /**
     * The shortest grace of any deployment, within which a drain that was told may be overlooked.
     */
    private static final double GRACE = 250;

    private record Due(double at, long order, Runnable what) {}

    /**
     * An agent of discovery, as the protocol and the standing test tell of it, and a gatherer's
     * plan before it.
     */
    private static final class Play {
        private final PriorityQueue<Due> due =
                new PriorityQueue<>(
                        Comparator.comparingDouble(Due::at).thenComparingLong(Due::order));
        private final EndpointWatchPlan plan;
        private long orders;
        private double now;
        private long version = 1;
        private boolean down;
        private long moves;
        private final Map<Long, EndpointWatchPlan.Call> waiting = new HashMap<>();

        /** When each call was made, and since when those that have fallen silent are. */
        private final Map<Long, Double> calledAt = new HashMap<>();

        private final Map<Long, Double> silentSince = new HashMap<>();
        final Map<Long, Double> knownAt = new HashMap<>();
        int calls;

        Play(boolean pushed) {
            plan = new EndpointWatchPlan(pushed, 10_000);
        }

        void at(double time, Runnable what) {
            due.add(new Due(time, orders++, what));
        }

        private void carryOut(List<EndpointWatchPlan.Step> steps) {
            for (EndpointWatchPlan.Step step : steps) {
                if (step instanceof EndpointWatchPlan.Step.MakeCall ask) {
                    calls++;
                    long to = moves;
                    calledAt.put(ask.call().number(), now);
                    at(now + WAY, () -> arrive(ask.call(), to));
                    at(
                            now + ask.call().timeoutMs(),
                            () ->
                                    end(
                                            ask.call().number(),
                                            () ->
                                                    carryOut(
                                                            plan.failed(
                                                                    now,
                                                                    ask.call().number(),
                                                                    "no answer"))));
                } else if (step instanceof EndpointWatchPlan.Step.DropCall drop) {
                    waiting.remove(drop.number());
                    calledAt.remove(drop.number());
                } else if (step instanceof EndpointWatchPlan.Step.Report tell) {
                    for (long v = 1; v <= tell.list().index(); v++) {
                        knownAt.putIfAbsent(v, now);
                    }
                } else if (step instanceof EndpointWatchPlan.Step.ReportUnavailable) {
                    // What the decisions do: they ask again after up to three seconds.
                    at(now + 3000, () -> carryOut(plan.ask(now)));
                }
            }
            double next = plan.timerAtMs();
            if (next < Double.POSITIVE_INFINITY) {
                at(Math.max(now, next), () -> carryOut(plan.timerFired(now)));
            }
        }

        private void end(long number, Runnable how) {
            if (calledAt.remove(number) != null) {
                waiting.remove(number);
                silentSince.remove(number);
                how.run();
            }
        }

        private void arrive(EndpointWatchPlan.Call call, long to) {
            if (to != moves || !calledAt.containsKey(call.number())) {
                return;
            }
            waiting.put(call.number(), call);
            at(now + call.waitMs(), () -> answer(call.number(), true));
            answer(call.number(), false);
        }

        private void answer(long number, boolean over) {
            EndpointWatchPlan.Call call = waiting.get(number);
            if (call == null
                    || down
                    || silentSince.containsKey(number)
                    || (!over && call.after() >= version)) {
                return;
            }
            long told = version;
            waiting.remove(number);
            at(
                    now + WAY,
                    () ->
                            end(
                                    number,
                                    () ->
                                            carryOut(
                                                    plan.answered(
                                                            now,
                                                            number,
                                                            new EndpointList(
                                                                    told,
                                                                    call.after() < 0,
                                                                    List.of())))));
        }

        private void answerAll() {
            List.copyOf(waiting.keySet()).forEach(number -> answer(number, false));
        }

        void change() {
            version++;
            answerAll();
        }

        void silence() {
            waiting.keySet().forEach(number -> silentSince.putIfAbsent(number, now));
        }

        void reset() {
            List.copyOf(waiting.keySet())
                    .forEach(
                            number ->
                                    end(number, () -> carryOut(plan.failed(now, number, "reset"))));
        }

        void down(boolean is) {
            down = is;
            if (!is) {
                answerAll();
            }
        }

        /** Back, but what was asked meanwhile is lost: nobody answers it any more. */
        void backWithoutWhatWasAsked() {
            waiting.clear();
            down = false;
        }

        void move() {
            moves++;
            waiting.clear();
            calledAt.clear();
            carryOut(plan.moved(now));
        }

        void run(double until) {
            at(0, () -> carryOut(plan.ask(now)));
            int steps = 0;
            while (!due.isEmpty() && due.peek().at <= until) {
                assertTrue(++steps < 100_000, "the plan never rests at " + now);
                Due next = due.poll();
                now = next.at;
                next.what.run();
            }
        }
    }

    private static final double START = 30_000;

    @DataProvider
    Object[][] changes() {
        var rows = new ArrayList<Object[]>();
        // What happens (at START), how long after it the list changes, and how long after START
        // that counts as told.
        for (double after : new double[] {0, 1, 60, 199, 900, 2500, 5900, 7000, 20_500}) {
            rows.add(new Object[] {"nothing", after, after});
            rows.add(new Object[] {"reset", after, after});
            // It fell silent: six seconds, whenever it was made and however long it may wait.
            rows.add(new Object[] {"silence", after, Math.max(6000, after)});
            rows.add(
                    new Object[] {
                        "silence of all calls for a second", after, Math.max(6000, after)
                    });
            rows.add(new Object[] {"down for 8 s", after, Math.max(8000, after)});
            rows.add(new Object[] {"down for 25 s", after, Math.max(25_000, after)});
            rows.add(new Object[] {"silence and down for 8 s", after, Math.max(8000, after)});
            rows.add(new Object[] {"move", after, Math.max(4000, after)});
        }
        return rows.toArray(Object[][]::new);
    }

    @Test(dataProvider = "changes")
    public void eachChangeIsKnownByTheTimeItCountsAsToldAndItsGraceIsOver(
            String what, double after, double told) {
        // Whatever the place in the rhythm of its calls at which it happens.
        for (double phase = 0; phase < 2200; phase += 37) {
            var play = new Play(true);
            double start = START + phase;
            play.at(
                    start,
                    () -> {
                        switch (what) {
                            case "reset" -> play.reset();
                            case "silence", "silence and down for 8 s" -> play.silence();
                            case "move" -> play.move();
                            default -> {}
                        }
                        if (what.contains("down")) {
                            play.down(true);
                            play.at(
                                    start + (what.contains("25") ? 25_000 : 8000),
                                    () -> play.down(false));
                        }
                    });
            if (what.contains("of all")) {
                for (double at = 0; at < 1000; at += 5) {
                    play.at(start + at, play::silence);
                }
            }
            play.at(start + after, play::change);
            play.run(start + 60_000);
            double known = play.knownAt.get(2L) - start;
            assertTrue(
                    known <= told + GRACE,
                    what
                            + ", phase "
                            + phase
                            + ": known after "
                            + known
                            + " ms, told after "
                            + told);
        }
    }

    @DataProvider
    Object[][] waysToBeDown() {
        var rows = new ArrayList<Object[]>();
        for (boolean pushed : new boolean[] {true, false}) {
            for (double downMs : new double[] {500, 3000, 8000, 25_000, 47_000}) {
                for (double after : new double[] {0, 400, 7000, 24_000}) {
                    rows.add(new Object[] {pushed, downMs, after});
                }
            }
        }
        return rows.toArray(Object[][]::new);
    }

    /**
     * Failed and given-up calls put nothing off: six seconds after discovery had a change and could
     * be reached it is told.
     */
    @Test(dataProvider = "waysToBeDown")
    public void changeIsKnownSixSecondsAfterDiscoveryCouldBeReachedWhateverCallsFailedBefore(
            boolean pushed, double downMs, double after) {
        for (double phase = 0; phase < 4000; phase += 37) {
            var play = new Play(pushed);
            // Longer than any call waits, so that none from before is still open.
            double start = START + phase;
            play.at(
                    start,
                    () -> {
                        play.reset();
                        play.down(true);
                    });
            play.at(start + downMs, play::backWithoutWhatWasAsked);
            play.at(start + after, play::change);
            play.run(start + 80_000);
            double known = play.knownAt.get(2L) - start;
            double told = Math.max(downMs, after) + 6000;
            assertTrue(
                    known <= told,
                    "pushed "
                            + pushed
                            + ", phase "
                            + phase
                            + ": known after "
                            + known
                            + " ms, told after "
                            + told);
        }
    }

    /**
     * What the agent has counts as told from a process's first moment, and what it gets at the
     * return at once.
     */
    @Test
    public void processThatBeginsWhileDiscoveryIsDownKnowsTheListAtItsReturn() {
        for (double downMs = 10; downMs < 60_000; downMs += 173) {
            var play = new Play(true);
            play.down(true);
            play.at(downMs, () -> play.down(false));
            play.run(downMs + 30_000);
            assertTrue(
                    play.knownAt.get(1L) <= downMs + GRACE,
                    downMs + " ms down, list known at " + play.knownAt.get(1L));
        }
    }

    @Test
    public void callsAreFewAndFewestWhereEachCosts() {
        for (boolean pushed : new boolean[] {true, false}) {
            var play = new Play(pushed);
            play.run(60_000);
            // The whole list, and a call every two seconds, or every twenty.
            assertTrue(
                    pushed ? play.calls >= 29 && play.calls <= 32 : play.calls == 4,
                    String.valueOf(play.calls));
        }
    }

    @Test
    public void listThatGoesBackIsAskedForAnewAndWhole() {
        var plan = new EndpointWatchPlan(true, 10_000);
        plan.ask(0);
        plan.answered(1, 1, new EndpointList(9, true, List.of()));
        plan.timerFired(3001);
        List<EndpointWatchPlan.Step> steps =
                plan.answered(3002, 3, new EndpointList(4, false, List.of()));
        assertEquals(steps.get(0), new EndpointWatchPlan.Step.DropCall(2));
        assertTrue(
                steps.contains(new EndpointWatchPlan.Step.ReportUnavailable("its index went back")),
                steps.toString());
        assertEquals(((EndpointWatchPlan.Step.MakeCall) plan.ask(3010).get(0)).call().after(), -1);
    }

    @Test
    public void refusedCallsAreMadeASecondApart() {
        var plan = new EndpointWatchPlan(true, 10_000);
        plan.ask(0);
        plan.answered(1, 1, new EndpointList(9, true, List.of()));
        plan.failed(1000, 2, "reset");
        // The watch goes on if the next call comes within 200 ms.
        assertEquals(plan.timerAtMs(), 1050.0);
        plan.timerFired(1050);
        plan.failed(1100, 3, "refused");
        assertEquals(plan.timerAtMs(), 2100.0);
    }

    @Test
    public void atMostTwoCallsAreOpenHoweverLongDiscoveryIsSilent() {
        var plan = new EndpointWatchPlan(true, 10_000);
        plan.ask(0);
        long open = 1;
        for (int i = 0; i < 20; i++) {
            List<EndpointWatchPlan.Step> steps = plan.timerFired(plan.timerAtMs());
            open +=
                    steps.stream()
                            .filter(EndpointWatchPlan.Step.MakeCall.class::isInstance)
                            .count();
            open -=
                    steps.stream()
                            .filter(EndpointWatchPlan.Step.DropCall.class::isInstance)
                            .count();
            assertEquals(open, 2);
        }
    }
}
