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
 * Follows the list of shard servers over HTTP, as {@link EndpointWatchPlan} says. A call that fails
 * is reported and not repeated until {@link #ask} or, should nobody ask, until the longest wait
 * between calls is over.
 */
public final class EndpointWatch {
    private static final Logger LOG = Logger.getLogger(EndpointWatch.class.getName());

    private final Vertx vertx;
    private final int cells;
    private final DoubleSupplier clock;
    private final Consumer<Observation> reports;
    private final EndpointWatchPlan plan;
    private HttpClient client;
    private String host;
    private int port;
    private boolean stopped;
    private long timer = -1;
    private double timerAt = Double.POSITIVE_INFINITY;

    /** Calls under way by their numbers; null while its connection isn't up. */
    private final Map<Long, HttpClientRequest> calls = new HashMap<>();

    /** Over once the first call is. */
    private final Promise<Void> first = Promise.promise();

    /**
     * @param cells how many cells there are
     * @param asked whether the list comes only when asked for, so that each call costs the list
     *     service
     * @param askWithinMs the longest wait between calls, in milliseconds
     */
    public EndpointWatch(
            Vertx vertx,
            String host,
            int port,
            int cells,
            boolean asked,
            double askWithinMs,
            DoubleSupplier clock,
            Consumer<Observation> reports) {
        this.vertx = vertx;
        this.cells = cells;
        this.clock = clock;
        this.reports = reports;
        this.plan = new EndpointWatchPlan(!asked, Math.max(1000, askWithinMs));
        address(host, port);
    }

    private void address(String newHost, int newPort) {
        host = newHost;
        port = newPort;
        // One connection for the call that waits, one for a call without an answer beside it, and
        // one that is being closed.
        client =
                vertx.httpClientBuilder()
                        .with(new HttpClientOptions().setConnectTimeout(EndpointWatchPlan.WAY_MS))
                        .with(new PoolOptions().setHttp1MaxSize(3))
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
    public void move(String newHost, int newPort) {
        if (stopped || host.equals(newHost) && port == newPort) {
            return;
        }
        LOG.info("discovery is now at " + newHost + ":" + newPort);
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
        ask();
        return first.future();
    }

    /** Calls now unless a call is under way. */
    public void ask() {
        if (!stopped) {
            carryOut(plan.ask(clock.getAsDouble()));
        }
    }

    private void carryOut(List<EndpointWatchPlan.Step> steps) {
        for (EndpointWatchPlan.Step step : steps) {
            if (step instanceof EndpointWatchPlan.Step.Ask ask) {
                call(ask.call());
            } else if (step instanceof EndpointWatchPlan.Step.Drop drop) {
                HttpClientRequest request = calls.remove(drop.number());
                if (request != null) {
                    request.reset();
                }
            } else if (step instanceof EndpointWatchPlan.Step.Tell tell) {
                reports.accept(
                        new Observation.EndpointsUpdated(
                                tell.news().complete(), tell.news().servers()));
            } else if (step instanceof EndpointWatchPlan.Step.TellFailed failed) {
                reports.accept(new Observation.EndpointsUnavailable());
                first.tryComplete();
            } else if (step instanceof EndpointWatchPlan.Step.Note note) {
                LOG.log(note.trouble() ? Level.WARNING : Level.INFO, note.line());
            }
        }
        arm();
    }

    private void arm() {
        double at = stopped ? Double.POSITIVE_INFINITY : plan.dueAt();
        if (at == timerAt) {
            return;
        }
        vertx.cancelTimer(timer);
        timerAt = at;
        if (at < Double.POSITIVE_INFINITY) {
            timer =
                    vertx.setTimer(
                            Math.max(1, (long) Math.ceil(at - clock.getAsDouble())),
                            fired -> {
                                timerAt = Double.POSITIVE_INFINITY;
                                carryOut(plan.woken(clock.getAsDouble()));
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
                                .setIdleTimeout(call.giveUpMs()))
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
        String why = failure;
        EndpointListReader news = null;
        if (why == null) {
            try {
                news = EndpointListReader.decode(body.getBytes(), cells);
            } catch (EndpointListReader.MalformedException e) {
                why = e.getMessage();
            }
        }
        double now = clock.getAsDouble();
        carryOut(
                why == null
                        ? plan.answered(now, call.number(), news)
                        : plan.failed(now, call.number(), why));
        first.tryComplete();
    }

    public void stop() {
        stopped = true;
        arm();
        client.close();
        first.tryComplete();
    }
}
