package sprucehold.discovery;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.DoubleSupplier;
import java.util.logging.Level;
import java.util.logging.Logger;
import sprucehold.coordinator.Observation;

/**
 * Follows the endpoint list over HTTP, as {@link EndpointWatchPlan} says. A call that fails is
 * reported and not repeated until {@link #poll} or, should nobody ask, until the longest wait
 * between calls is over.
 */
public final class EndpointWatch {
    private static final Logger LOG = Logger.getLogger(EndpointWatch.class.getName());

    private static final double SHORTEST_POLL_INTERVAL_MS = 1000;

    /**
     * One connection for the call that waits, one for a call without an answer beside it, and one
     * that is being closed.
     */
    private static final int MAX_CONNECTIONS = 3;

    private final Vertx vertx;
    private final int replicaGroups;
    private final DoubleSupplier clock;
    private final Consumer<Observation> observations;
    private final EndpointWatchPlan plan;
    private HttpClient client;
    private String host;
    private int port;
    private boolean stopped;
    private long timer = -1;
    private double timerAtMs = Double.POSITIVE_INFINITY;

    /** Calls under way by their numbers; null while its connection isn't up. */
    private final Map<Long, HttpClientRequest> calls = new HashMap<>();

    /** Over once the first call is. */
    private final Promise<Void> firstCallOver = Promise.promise();

    /**
     * @param vertx on whose event loop all is called
     * @param host where discovery is
     * @param port where discovery is
     * @param replicaGroups how many replica groups there are
     * @param polled whether the list comes only when asked for, so that each call costs discovery
     * @param maxPollIntervalMs the longest wait between calls, in milliseconds
     * @param clock the time in milliseconds
     * @param observations is told what came
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
        this.plan =
                new EndpointWatchPlan(
                        !polled, Math.max(SHORTEST_POLL_INTERVAL_MS, maxPollIntervalMs));
        address(host, port);
    }

    private void address(String newHost, int newPort) {
        host = newHost;
        port = newPort;
        client =
                vertx.httpClientBuilder()
                        .with(
                                new HttpClientOptions()
                                        .setConnectTimeout(EndpointWatchPlan.TRANSIT_MS))
                        .with(new PoolOptions().setHttp1MaxSize(MAX_CONNECTIONS))
                        .withConnectHandler(
                                connection ->
                                        connection.exceptionHandler(
                                                failure ->
                                                        LOG.log(
                                                                Level.FINE,
                                                                "connection to discovery",
                                                                failure)))
                        .build();
    }

    /**
     * Follows the list at another address from now on. The whole list is asked for there at once:
     * what the old address had still to tell is in it, and versions of the two need not go
     * together.
     */
    public void moveTo(String newHost, int newPort) {
        if (stopped || (host.equals(newHost) && port == newPort)) {
            return;
        }
        LOG.info("discovery moved: " + newHost + ":" + newPort);
        HttpClient old = client;
        address(newHost, newPort);
        carryOut(plan.moved(clock.getAsDouble()));
        old.close();
    }

    /**
     * Begins with the whole list, which is answered at once: a version that is known from before
     * may be another discovery's. Returns when that call is over or its answer overdue, whether or
     * not it brought a list.
     */
    public Future<Void> start() {
        poll();
        return firstCallOver.future();
    }

    /** Calls now unless a call is under way. */
    public void poll() {
        if (!stopped) {
            carryOut(plan.ask(clock.getAsDouble()));
        }
    }

    private void carryOut(List<EndpointWatchPlan.Step> steps) {
        for (EndpointWatchPlan.Step step : steps) {
            if (step instanceof EndpointWatchPlan.Step.MakeCall ask) {
                call(ask.call());
            } else if (step instanceof EndpointWatchPlan.Step.DropCall drop) {
                HttpClientRequest request = calls.remove(drop.number());
                if (request != null) {
                    request.reset();
                }
            } else if (step instanceof EndpointWatchPlan.Step.Report tell) {
                observations.accept(
                        new Observation.EndpointsUpdated(
                                tell.list().complete(), tell.list().servers()));
            } else if (step instanceof EndpointWatchPlan.Step.ReportUnavailable) {
                observations.accept(new Observation.EndpointsUnavailable());
                firstCallOver.tryComplete();
            } else if (step instanceof EndpointWatchPlan.Step.LogLine note) {
                LOG.log(note.warning() ? Level.WARNING : Level.INFO, note.text());
            }
        }
        setTimer();
    }

    private void setTimer() {
        double at = stopped ? Double.POSITIVE_INFINITY : plan.timerAtMs();
        if (at == timerAtMs) {
            return;
        }
        vertx.cancelTimer(timer);
        timerAtMs = at;
        if (at < Double.POSITIVE_INFINITY) {
            timer =
                    vertx.setTimer(
                            Math.max(1, (long) Math.ceil(at - clock.getAsDouble())),
                            fired -> {
                                timerAtMs = Double.POSITIVE_INFINITY;
                                carryOut(plan.timerFired(clock.getAsDouble()));
                            });
        }
    }

    private void call(EndpointWatchPlan.Call call) {
        calls.put(call.number(), null);
        String uri =
                call.after() < 0
                        ? "/discovery/hosts"
                        : "/discovery/hosts?after=" + call.after() + "&wait_ms=" + call.waitMs();
        client.request(
                        new RequestOptions()
                                .setMethod(HttpMethod.GET)
                                .setHost(host)
                                .setPort(port)
                                .setURI(uri)
                                .setIdleTimeout(call.timeoutMs()))
                .compose(
                        request -> {
                            if (!calls.containsKey(call.number())) {
                                request.reset();
                                return Future.failedFuture("dropped");
                            }
                            calls.put(call.number(), request);
                            return request.send()
                                    .compose(
                                            response ->
                                                    response.statusCode() == 200
                                                            ? response.body()
                                                            : Future.failedFuture(
                                                                    "status "
                                                                            + response
                                                                                    .statusCode()));
                        })
                .onComplete(
                        called ->
                                ended(
                                        call,
                                        called.succeeded() ? called.result() : null,
                                        called.succeeded()
                                                ? null
                                                : String.valueOf(called.cause().getMessage())));
    }

    private void ended(EndpointWatchPlan.Call call, Buffer body, String failure) {
        boolean known = calls.containsKey(call.number());
        calls.remove(call.number());
        if (stopped || !known) {
            return;
        }
        carryOut(outcome(call, body, failure));
        firstCallOver.tryComplete();
    }

    private List<EndpointWatchPlan.Step> outcome(
            EndpointWatchPlan.Call call, Buffer body, String failure) {
        if (failure != null) {
            return plan.failed(clock.getAsDouble(), call.number(), failure);
        }
        EndpointList list;
        try {
            list = EndpointListReader.decode(body.getBytes(), replicaGroups);
        } catch (EndpointListReader.MalformedException e) {
            return plan.failed(clock.getAsDouble(), call.number(), e.getMessage());
        }
        return plan.answered(clock.getAsDouble(), call.number(), list);
    }

    /** Makes no further calls. */
    public void stop() {
        stopped = true;
        setTimer();
        client.close();
        firstCallOver.tryComplete();
    }
}
