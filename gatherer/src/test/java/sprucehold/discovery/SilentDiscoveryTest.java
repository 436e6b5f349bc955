package sprucehold.discovery;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Guards against parts that are sent to draining servers because the drain was asked for on a
 * connection to discovery that had fallen silent (postmortem: silent-connections.md). On a virtual
 * clock, connections fall silent at each moment, and a change of the list follows.
 */
public class SilentDiscoveryTest {
    /**
     * Time after the begin of a silence from which the gatherer counts as notified of the changes
     * that it missed, in milliseconds.
     */
    private static final double NOTIFIED_AFTER_SILENCE_MS = 6000;

    /** The same after the end of a silent call's wait, if that is later, in milliseconds. */
    private static final double NOTIFIED_AFTER_WAIT_MS = 2000;

    /** Shortest drain grace period of any deployment, in milliseconds. */
    private static final double GRACE_MS = 250;

    private static final double START_MS = 30_000;

    /** Delays of the decision policy's polls after failures in a row, without jitter, in ms. */
    private static final double[] BACKOFF_MS = {250, 500, 1000, 2000};

    /** Lowest and highest jitter factor of the policy's delays. */
    private static final double[] JITTERS = {0.5, 1.5};

    private enum Silence {
        /** Every open connection falls silent during a call's wait. */
        IN_A_WAIT,
        /** Every open connection falls silent right after a response without a change. */
        AFTER_A_RESPONSE,
        /** Every open connection falls silent right after a response with a change. */
        AFTER_A_CHANGE,
        /** A call fails, and every open connection falls silent before the next one. */
        AFTER_A_FAILURE,
        /** Every open connection falls silent during a wait, and the next one as it is opened. */
        TWICE_IN_A_WAIT,
        /** Every open connection falls silent after a change, and the next one as it is opened. */
        TWICE_AFTER_A_CHANGE
    }

    private static DiscoverySimulation.PollDelay policyBackoff(double jitter) {
        return failures -> jitter * BACKOFF_MS[Math.min(failures, BACKOFF_MS.length - 1)];
    }

    @DataProvider
    Object[][] silences() {
        var rows = new ArrayList<Object[]>();
        for (boolean pushed : new boolean[] {true, false}) {
            for (Silence silence : Silence.values()) {
                for (double responseMs : new double[] {0, 300, 1000, 1500}) {
                    rows.add(new Object[] {pushed, silence, responseMs});
                }
            }
        }
        return rows.toArray(Object[][]::new);
    }

    /** One run: from the silence on, its begin and when the gatherer counts as notified. */
    private static final class SilenceRun {
        private final DiscoverySimulation simulation;
        private final Silence silence;
        private final double responseMs;
        private final double changeAfterMs;
        private double notifiedAtMs = Double.NaN;
        private double changedAtMs = Double.NaN;
        private long changedVersion = 2;

        SilenceRun(
                boolean pushed,
                Silence silence,
                double responseMs,
                double changeAfterMs,
                double jitter) {
            this.simulation = new DiscoverySimulation(pushed, policyBackoff(jitter));
            this.silence = silence;
            this.responseMs = responseMs;
            this.changeAfterMs = changeAfterMs;
        }

        void play(double startMs) {
            simulation.at(startMs, this::begin);
            simulation.run(startMs + 50_000);
        }

        private void begin() {
            simulation.delayAnswersOnNewConnections(responseMs);
            switch (silence) {
                case IN_A_WAIT, TWICE_IN_A_WAIT -> silent(simulation::silenceOpenConnections);
                case AFTER_A_RESPONSE ->
                        simulation.silenceOpenConnectionsAfterTheNextAnswer(() -> silent(() -> {}));
                case AFTER_A_CHANGE, TWICE_AFTER_A_CHANGE -> {
                    changedVersion = 3;
                    simulation.silenceOpenConnectionsAfterTheNextAnswer(() -> silent(() -> {}));
                    simulation.changeList();
                }
                default -> {
                    simulation.resetWaitingCalls();
                    silent(simulation::silenceOpenConnections);
                }
            }
        }

        private void silent(Runnable silencing) {
            double latestWaitEndMs = simulation.latestWaitEndMs();
            silencing.run();
            if (silence.name().startsWith("TWICE")) {
                simulation.silenceNewConnections(1);
            }
            notifiedAtMs =
                    Math.max(
                            simulation.nowMs() + NOTIFIED_AFTER_SILENCE_MS,
                            latestWaitEndMs + NOTIFIED_AFTER_WAIT_MS);
            changedAtMs =
                    changeAfterMs >= 0
                            ? simulation.nowMs() + changeAfterMs
                            : notifiedAtMs + changeAfterMs;
            simulation.at(Math.max(simulation.nowMs(), changedAtMs), simulation::changeList);
        }

        double lateMs() {
            Double received = simulation.receivedAtMs.get(changedVersion);
            return received == null
                    ? Double.POSITIVE_INFINITY
                    : received - Math.max(notifiedAtMs, changedAtMs);
        }
    }

    @Test(dataProvider = "silences")
    public void changeMissedInASilenceIsReceivedInTimeOnANewConnection(
            boolean pushed, Silence silence, double responseMs) {
        double cycleMs = pushed ? 2200 : 20_500;
        // Negative: before the gatherer counts as notified. A change that comes when a new
        // connection is open already isn't missed: the gatherer is notified by the response.
        double[] changes =
                responseMs == 0
                        ? new double[] {0, 1, 100, 2500, 5900, -1900, -1000, -100, -1}
                        : new double[] {0, 1, 100, 2000};
        for (double changeAfterMs : changes) {
            for (double jitter : JITTERS) {
                for (double phase = 0; phase < cycleMs; phase += cycleMs / 25) {
                    var run = new SilenceRun(pushed, silence, responseMs, changeAfterMs, jitter);
                    run.play(START_MS + phase);
                    assertTrue(
                            run.lateMs() <= GRACE_MS,
                            "change "
                                    + changeAfterMs
                                    + ", phase "
                                    + phase
                                    + ", jitter "
                                    + jitter
                                    + ": received "
                                    + run.lateMs()
                                    + " ms after the gatherer counts as notified");
                }
            }
        }
    }

    /** The list of a new address is received in time though its first connection is silent. */
    @Test(dataProvider = "slowness")
    public void listOfANewAddressIsReceivedThoughItsFirstConnectionIsSilent(
            boolean pushed, double responseMs) {
        // A gatherer counts as notified of a pushed list four seconds after its address changed.
        double notifiedAfterMs = pushed ? 4000 : NOTIFIED_AFTER_SILENCE_MS;
        for (double phase = 0; phase < 20_500; phase += 473) {
            for (boolean silentBefore : new boolean[] {false, true}) {
                var simulation = new DiscoverySimulation(pushed);
                double start = START_MS + phase;
                if (silentBefore) {
                    simulation.at(start - 1000, simulation::silenceOpenConnections);
                }
                simulation.at(
                        start,
                        () -> {
                            simulation.delayAnswersOnNewConnections(responseMs);
                            simulation.changeList();
                            simulation.silenceNewConnections(1);
                            simulation.changeAddress();
                        });
                simulation.run(start + 30_000);
                double received = simulation.receivedAtMs.get(2L) - start;
                assertTrue(received <= notifiedAfterMs + GRACE_MS, phase + ": " + received);
            }
        }
    }

    @DataProvider
    Object[][] slowness() {
        return new Object[][] {{true, 0}, {true, 1500}, {false, 0}, {false, 1500}};
    }

    /** Both after connections that fell silent and after calls that were lost in the outage. */
    @Test(dataProvider = "slowness")
    public void changeIsReceivedWithinSixSecondsOfTheEndOfAnOutage(
            boolean pushed, double responseMs) {
        for (double jitter : JITTERS) {
            for (double phase = 0; phase < 20_500; phase += 473) {
                for (double downMs : new double[] {400, 5000, 31_000}) {
                    var simulation = new DiscoverySimulation(pushed, policyBackoff(jitter));
                    double start = START_MS + phase;
                    var notified = new double[1];
                    simulation.at(
                            start,
                            () -> {
                                notified[0] = simulation.latestWaitEndMs() + NOTIFIED_AFTER_WAIT_MS;
                                simulation.silenceOpenConnections();
                                simulation.setDown(true);
                            });
                    simulation.at(
                            start + downMs,
                            () -> {
                                simulation.delayAnswersOnNewConnections(responseMs);
                                simulation.recoverWithoutWaitingCalls();
                                simulation.changeList();
                            });
                    simulation.run(start + downMs + 60_000);
                    double notifiedAtMs =
                            Math.max(notified[0], start + downMs + NOTIFIED_AFTER_SILENCE_MS);
                    assertTrue(
                            simulation.receivedAtMs.get(2L) <= notifiedAtMs + GRACE_MS,
                            downMs
                                    + " ms down, phase "
                                    + phase
                                    + ", jitter "
                                    + jitter
                                    + ": "
                                    + (simulation.receivedAtMs.get(2L) - notifiedAtMs));
                }
            }
        }
    }

    /** A discovery that is silent isn't flooded, and no calls pile up. */
    @Test
    public void silentDiscoveryOfAPolledListIsCalledSeldomAndOnFewConnections() {
        var simulation = new DiscoverySimulation(false, failures -> 3000);
        var callsBefore = new int[1];
        simulation.at(START_MS, () -> simulation.setDown(true));
        simulation.at(START_MS, () -> callsBefore[0] = simulation.callsMade);
        simulation.run(START_MS + 120_000);
        int calls = simulation.callsMade - callsBefore[0];
        assertTrue(calls <= 2 + 120_000 / 4000, calls + " calls");
        assertEquals(simulation.mostCallsOpen, 4);
    }

    /** Guards against calls that overlap without end once discovery answers, but slowly. */
    @Test(dataProvider = "slowAnswers")
    public void slowDiscoveryIsNotCalledMoreOftenThanItsWaitsAllow(boolean pushed, double slowMs) {
        var simulation = new DiscoverySimulation(pushed);
        simulation.at(START_MS, () -> simulation.delayAnswersOnNewConnections(slowMs));
        simulation.at(START_MS + 10, simulation::silenceOpenConnections);
        simulation.run(START_MS + 200_000);
        double waitMs =
                pushed
                        ? EndpointWatchStateMachine.SHORT_WAIT_MS
                        : EndpointWatchStateMachine.POLLED_WAIT_MS;
        // The complete list, one call a wait, and few in parallel to the one that fell silent.
        double calls = 1 + (START_MS + 200_000) / waitMs + 4;
        assertTrue(simulation.callsMade <= calls, simulation.callsMade + " calls");
    }

    @DataProvider
    Object[][] slowAnswers() {
        var rows = new ArrayList<Object[]>();
        for (double slowMs : new double[] {0, 240, 260, 300, 1000, 1500, 2500}) {
            rows.add(new Object[] {true, slowMs});
            rows.add(new Object[] {false, slowMs});
        }
        return rows.toArray(Object[][]::new);
    }

    /** Only a call with a short wait uses a connection again, so that silence shows in time. */
    @Test
    public void longWaitsAndCallsAfterFailuresUseNewConnections() {
        var stateMachine = new EndpointWatchStateMachine(false, 10_000);
        assertTrue(newConnection(stateMachine.poll(0)));
        assertTrue(newConnection(answered(stateMachine, 1, 1, 41)));
        List<EndpointWatchStateMachine.Step> afterChange = answered(stateMachine, 300, 2, 42);
        assertEquals(newConnection(afterChange), false);
        assertTrue(newConnection(answered(stateMachine, 2300, 3, 42)));
        stateMachine.failed(2400, 4, "reset");
        assertTrue(newConnection(stateMachine.poll(2600)));
    }

    private static List<EndpointWatchStateMachine.Step> answered(
            EndpointWatchStateMachine stateMachine, double nowMs, long number, long index) {
        return stateMachine.answered(nowMs, number, new EndpointList(index, false, List.of()));
    }

    private static boolean newConnection(List<EndpointWatchStateMachine.Step> steps) {
        return steps.stream()
                .filter(EndpointWatchStateMachine.Step.MakeCall.class::isInstance)
                .map(EndpointWatchStateMachine.Step.MakeCall.class::cast)
                .findFirst()
                .orElseThrow()
                .call()
                .newConnection();
    }
}
