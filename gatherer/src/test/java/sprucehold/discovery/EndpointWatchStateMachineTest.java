package sprucehold.discovery;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Compares, on a virtual clock, the time at which the gatherer receives each change of the endpoint
 * list with the time from which the gatherer counts as notified of the change.
 */
public class EndpointWatchStateMachineTest {
    /**
     * Shortest drain grace period of any deployment, in milliseconds. A gatherer may still send to
     * a shard server for this time after it counts as notified of the drain.
     */
    private static final double GRACE_MS = 250;

    /** Time at which the disturbance begins, in milliseconds. */
    private static final double START_MS = 30_000;

    @DataProvider
    Object[][] changes() {
        var rows = new ArrayList<Object[]>();
        // Each row: the disturbance at START_MS, the time from START_MS to the change of the list,
        // and the time from START_MS after which the gatherer counts as notified of the change, all
        // in milliseconds.
        for (double after : new double[] {0, 1, 60, 199, 900, 2500, 5900, 7000, 20_500}) {
            rows.add(new Object[] {"no disturbance", after, after});
            rows.add(new Object[] {"reset", after, after});
            // After a call fell silent, the gatherer counts as notified of a change six seconds
            // after the silence began, or at the change if that is later. The start and the wait
            // time of the call make no difference.
            rows.add(new Object[] {"silence", after, Math.max(6000, after)});
            rows.add(
                    new Object[] {
                        "silence of all calls for a second", after, Math.max(6000, after)
                    });
            rows.add(new Object[] {"down for 8 s", after, Math.max(8000, after)});
            rows.add(new Object[] {"down for 25 s", after, Math.max(25_000, after)});
            rows.add(new Object[] {"silence and down for 8 s", after, Math.max(8000, after)});
            rows.add(new Object[] {"address change", after, Math.max(4000, after)});
            rows.add(
                    new Object[] {
                        "down for 8 s, calls end at the return", after, Math.max(8000, after)
                    });
        }
        return rows.toArray(Object[][]::new);
    }

    @Test(dataProvider = "changes")
    public void changeDuringDisturbanceIsReceivedBeforeTheGracePeriodAfterNotificationEnds(
            String disturbance, double after, double notified) {
        // Covers all phases of the sequence of calls.
        for (double phase = 0; phase < 2200; phase += 37) {
            var simulation = new DiscoverySimulation(true);
            double start = START_MS + phase;
            simulation.at(
                    start,
                    () -> {
                        switch (disturbance) {
                            case "reset" -> simulation.resetWaitingCalls();
                            case "silence", "silence and down for 8 s" ->
                                    simulation.silenceWaitingCalls();
                            case "address change" -> simulation.changeAddress();
                            default -> {}
                        }
                        if (disturbance.contains("down")) {
                            simulation.setDown(true);
                            simulation.at(
                                    start + (disturbance.contains("25") ? 25_000 : 8000),
                                    () -> {
                                        if (disturbance.contains("calls end")) {
                                            simulation.resetWaitingCalls();
                                        }
                                        simulation.setDown(false);
                                    });
                        }
                    });
            if (disturbance.contains("of all")) {
                for (double offsetMs = 0; offsetMs < 1000; offsetMs += 5) {
                    simulation.at(start + offsetMs, simulation::silenceWaitingCalls);
                }
            }
            simulation.at(start + after, simulation::changeList);
            simulation.run(start + 60_000);
            double received = simulation.receivedAtMs.get(2L) - start;
            assertTrue(
                    received <= notified + GRACE_MS,
                    disturbance
                            + ", phase "
                            + phase
                            + ": received after "
                            + received
                            + " ms, counts as notified after "
                            + notified
                            + " ms");
        }
    }

    @DataProvider
    Object[][] outages() {
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
     * The gatherer counts as notified of a change six seconds after discovery had the change and
     * was reachable. Calls that failed or timed out before don't extend this time.
     */
    @Test(dataProvider = "outages")
    public void changeAfterFailedCallsIsReceivedWithinSixSecondsOfDiscoveryBeingReachable(
            boolean pushed, double downMs, double after) {
        for (double phase = 0; phase < 4000; phase += 37) {
            var simulation = new DiscoverySimulation(pushed);
            // START_MS is longer than the wait of any call, so no call from before is still open.
            double start = START_MS + phase;
            simulation.at(
                    start,
                    () -> {
                        simulation.resetWaitingCalls();
                        simulation.setDown(true);
                    });
            simulation.at(start + downMs, simulation::recoverWithoutWaitingCalls);
            simulation.at(start + after, simulation::changeList);
            simulation.run(start + 80_000);
            double received = simulation.receivedAtMs.get(2L) - start;
            double notified = Math.max(downMs, after) + 6000;
            assertTrue(
                    received <= notified,
                    "pushed "
                            + pushed
                            + ", phase "
                            + phase
                            + ": received after "
                            + received
                            + " ms, counts as notified after "
                            + notified
                            + " ms");
        }
    }

    /**
     * A gatherer counts as notified of the list of the agent from the start of the process. If the
     * agent receives a list at the end of an outage, the gatherer counts as notified of it at once.
     */
    @Test
    public void processStartedDuringAnOutageReceivesTheListAtItsEnd() {
        for (double downMs = 10; downMs < 60_000; downMs += 173) {
            var simulation = new DiscoverySimulation(true);
            simulation.setDown(true);
            simulation.at(downMs, () -> simulation.setDown(false));
            simulation.run(downMs + 30_000);
            assertTrue(
                    simulation.receivedAtMs.get(1L) <= downMs + GRACE_MS,
                    downMs + " ms down, list received at " + simulation.receivedAtMs.get(1L));
        }
    }

    @Test
    public void callsOfAnUnchangedListAreFewAndFewerIfTheListIsPolled() {
        for (boolean pushed : new boolean[] {true, false}) {
            var simulation = new DiscoverySimulation(pushed);
            simulation.run(60_000);
            // One call for the complete list, then one every 2 s if pushed or every 20 s if polled.
            assertTrue(
                    pushed
                            ? simulation.callsMade >= 29 && simulation.callsMade <= 32
                            : simulation.callsMade == 4,
                    String.valueOf(simulation.callsMade));
        }
    }

    @Test
    public void listWithDecreasedIndexIsRequestedAgainCompletely() {
        var stateMachine = new EndpointWatchStateMachine(true, 10_000);
        stateMachine.poll(0);
        stateMachine.answered(1, 1, new EndpointList(9, true, List.of()));
        stateMachine.timerFired(3001);
        List<EndpointWatchStateMachine.Step> steps =
                stateMachine.answered(3002, 3, new EndpointList(4, false, List.of()));
        assertEquals(steps.get(0), new EndpointWatchStateMachine.Step.DropCall(2));
        assertTrue(
                steps.contains(
                        new EndpointWatchStateMachine.Step.ReportUnavailable(
                                "list index decreased")),
                steps.toString());
        assertEquals(
                ((EndpointWatchStateMachine.Step.MakeCall) stateMachine.poll(3010).get(0))
                        .call()
                        .after(),
                -1);
    }

    /**
     * Guards against a long delay of the next call after failures that lie far apart: the policy
     * resets its backoff when it receives an update.
     */
    @Test
    public void successAfterAFailureIsReportedEvenIfTheListIsUnchanged() {
        for (boolean pushed : new boolean[] {true, false}) {
            var stateMachine = new EndpointWatchStateMachine(pushed, 10_000);
            stateMachine.poll(0);
            var update =
                    new EndpointWatchStateMachine.Step.Report(
                            new EndpointList(9, false, List.of()));
            stateMachine.answered(1, 1, new EndpointList(9, true, List.of()));
            stateMachine.failed(1000, 2, "reset");
            stateMachine.poll(1300);
            assertTrue(
                    stateMachine
                            .answered(1301, 3, new EndpointList(9, false, List.of()))
                            .contains(update));
            stateMachine.poll(1400);
            assertFalse(
                    stateMachine
                            .answered(3400, 4, new EndpointList(9, false, List.of()))
                            .contains(update));
        }
    }

    @Test
    public void callsRefusedRepeatedlyAreRetriedAfterOneSecond() {
        var stateMachine = new EndpointWatchStateMachine(true, 10_000);
        stateMachine.poll(0);
        stateMachine.answered(1, 1, new EndpointList(9, true, List.of()));
        stateMachine.failed(1000, 2, "reset");
        // Discovery continues the watch if the next call arrives within 200 ms.
        assertEquals(stateMachine.timerAtMs(), 1050.0);
        stateMachine.timerFired(1050);
        stateMachine.failed(1100, 3, "refused");
        assertEquals(stateMachine.timerAtMs(), 2100.0);
    }

    @Test
    public void silentDiscoveryLeavesAtMostTwoCallsOpen() {
        var stateMachine = new EndpointWatchStateMachine(true, 10_000);
        stateMachine.poll(0);
        long open = 1;
        for (int i = 0; i < 20; i++) {
            List<EndpointWatchStateMachine.Step> steps =
                    stateMachine.timerFired(stateMachine.timerAtMs());
            open +=
                    steps.stream()
                            .filter(EndpointWatchStateMachine.Step.MakeCall.class::isInstance)
                            .count();
            open -=
                    steps.stream()
                            .filter(EndpointWatchStateMachine.Step.DropCall.class::isInstance)
                            .count();
            assertEquals(open, 2);
        }
    }
}
