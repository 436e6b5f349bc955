package sprucehold.discovery;

import io.vertx.core.AsyncResult;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.DoubleSupplier;
import java.util.logging.Level;
import java.util.logging.Logger;
import sprucehold.coordinator.Observation;

/**
 * Follows the endpoint list over HTTP by carrying out the steps of {@link
 * EndpointWatchStateMachine}. A failed call is reported as an observation. The next call is made
 * when {@link #poll} is called, or after the retry delay of the state machine.
 */
public final class EndpointWatch {
    private static final Logger LOG = Logger.getLogger(EndpointWatch.class.getName());

    private static final double SHORTEST_POLL_INTERVAL_MS = 1000;

    private final Vertx vertx;
    private final int replicaGroups;
    private final DoubleSupplier clock;
    private final Consumer<Observation> observations;
    private final EndpointWatchStateMachine stateMachine;
    private DiscoveryConnections connections;
    private boolean stopped;
    private long timer = -1;
    private double timerAtMs = Double.POSITIVE_INFINITY;

    /** Completed when the first call has ended, failed or become overdue. */
    private final Promise<Void> firstCallEnded = Promise.promise();

    /**
     * @param vertx Vert.x instance; all methods must be called on its event loop
     * @param host host of discovery
     * @param port port of discovery
     * @param replicaGroups number of replica groups of the deployment
     * @param polled true if the list is polled, so that each call puts load on discovery; false if
     *     discovery pushes the list to an agent nearby
     * @param maxPollIntervalMs delay before a polled list is requested again after a failure if
     *     {@link #poll} isn't called, in milliseconds; values below one second are raised to one
     *     second
     * @param clock returns the time in milliseconds
     * @param observations receives the endpoint lists and the failures
     */
    public EndpointWatch(
            Vertx vertx,
            String host,
            int port,
            int replicaGroups,
            boolean polled,
            double maxPollIntervalMs,
            DoubleSupplier clock,
            Consumer<Observation> observations) {
        this.vertx = vertx;
        this.replicaGroups = replicaGroups;
        this.clock = clock;
        this.observations = observations;
        this.stateMachine =
                new EndpointWatchStateMachine(
                        !polled, Math.max(SHORTEST_POLL_INTERVAL_MS, maxPollIntervalMs));
        this.connections = new DiscoveryConnections(vertx, host, port);
    }

    /**
     * Follows the list at another address from now on. The complete list is requested from the new
     * address at once: it includes all changes that the old address hasn't delivered yet, and the
     * list versions of the two addresses are unrelated.
     */
    public void changeAddress(String newHost, int newPort) {
        if (stopped || connections.isTo(newHost, newPort)) {
            return;
        }
        LOG.info("discovery address changed: " + newHost + ":" + newPort);
        connections.close();
        connections = new DiscoveryConnections(vertx, newHost, newPort);
        carryOut(stateMachine.addressChanged(clock.getAsDouble()));
    }

    /**
     * Requests the complete list, which discovery returns at once. A list version known from an
     * earlier run isn't used, since another discovery instance may have issued it. The future
     * succeeds when the first call has ended or its response is overdue, even if no list was
     * received.
     */
    public Future<Void> start() {
        poll();
        return firstCallEnded.future();
    }

    /** Makes a call now unless one is open. */
    public void poll() {
        if (!stopped) {
            carryOut(stateMachine.poll(clock.getAsDouble()));
        }
    }

    private void carryOut(List<EndpointWatchStateMachine.Step> steps) {
        for (EndpointWatchStateMachine.Step step : steps) {
            if (step instanceof EndpointWatchStateMachine.Step.MakeCall makeCall) {
                sendCall(makeCall.call());
            } else if (step instanceof EndpointWatchStateMachine.Step.DropCall drop) {
                connections.drop(drop.number());
            } else if (step instanceof EndpointWatchStateMachine.Step.Report report) {
                observations.accept(
                        new Observation.EndpointsUpdated(
                                report.list().complete(), report.list().servers()));
            } else if (step instanceof EndpointWatchStateMachine.Step.ReportUnavailable) {
                observations.accept(new Observation.EndpointsUnavailable());
                firstCallEnded.tryComplete();
            } else if (step instanceof EndpointWatchStateMachine.Step.LogLine logLine) {
                LOG.log(logLine.warning() ? Level.WARNING : Level.INFO, logLine.text());
            }
        }
        setTimer();
    }

    private void setTimer() {
        double nextAtMs = stopped ? Double.POSITIVE_INFINITY : stateMachine.timerAtMs();
        if (nextAtMs == timerAtMs) {
            return;
        }
        vertx.cancelTimer(timer);
        timerAtMs = nextAtMs;
        if (nextAtMs < Double.POSITIVE_INFINITY) {
            timer =
                    vertx.setTimer(
                            Math.max(1, (long) Math.ceil(nextAtMs - clock.getAsDouble())),
                            fired -> {
                                timerAtMs = Double.POSITIVE_INFINITY;
                                carryOut(stateMachine.timerFired(clock.getAsDouble()));
                            });
        }
    }

    private void sendCall(EndpointWatchStateMachine.Call call) {
        DiscoveryConnections usedConnections = connections;
        usedConnections
                .call(call)
                .onComplete(
                        called -> {
                            if (!stopped && usedConnections == connections) {
                                callEnded(call, called);
                            }
                        });
    }

    private void callEnded(EndpointWatchStateMachine.Call call, AsyncResult<Buffer> called) {
        String failure = called.succeeded() ? null : String.valueOf(called.cause().getMessage());
        carryOut(stepsAfter(call, called.result(), failure));
        firstCallEnded.tryComplete();
    }

    private List<EndpointWatchStateMachine.Step> stepsAfter(
            EndpointWatchStateMachine.Call call, Buffer body, String failure) {
        if (failure != null) {
            return stateMachine.failed(clock.getAsDouble(), call.number(), failure);
        }
        EndpointList list;
        try {
            list = EndpointListReader.decode(body.getBytes(), replicaGroups);
        } catch (EndpointListReader.MalformedException e) {
            return stateMachine.failed(clock.getAsDouble(), call.number(), e.getMessage());
        }
        return stateMachine.answered(clock.getAsDouble(), call.number(), list);
    }

    /** Stops following the list and closes the connections. */
    public void stop() {
        stopped = true;
        setTimer();
        connections.close();
        firstCallEnded.tryComplete();
    }
}
