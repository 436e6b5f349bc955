package sprucehold.rig.list;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.DoubleSupplier;
import java.util.function.Function;
import sprucehold.decision.Endpoint;
import sprucehold.rig.plan.Plan;
import sprucehold.standin.ledger.Ledger;
import sprucehold.standin.ledger.Seen;

/**
 * Serves the discovery agent of one gatherer over HTTP, and records what it sends in the ledger.
 */
public final class AgentHost {
    private static final ObjectMapper JSON = new ObjectMapper();

    /**
     * Interval at which waiting calls are checked, in milliseconds. It is the longest time by which
     * the check delays the answer to a waiting call.
     */
    private static final long CHECK_INTERVAL_MS = 5;

    private record WaitingCall(HttpServerRequest request, long after, double untilMs) {}

    private final Vertx vertx;
    private final DoubleSupplier clock;
    private final Ledger ledger;
    private final Agent agent;
    private final String gatherer;
    private final Function<ServerList.Entry, String> address;
    private final List<WaitingCall> waiting = new ArrayList<>();
    private final Map<String, Endpoint.State> sentStates = new HashMap<>();
    private HttpServer server;
    private long timer;

    /**
     * @param address returns the address at which this gatherer reaches a server
     */
    public AgentHost(
            Vertx vertx,
            DoubleSupplier clock,
            Ledger ledger,
            ServerList list,
            String gatherer,
            Function<ServerList.Entry, String> address) {
        this.vertx = vertx;
        this.clock = clock;
        this.ledger = ledger;
        this.agent = new Agent(list);
        this.gatherer = gatherer;
        this.address = address;
    }

    public Future<Void> listen(String host, int port) {
        timer = vertx.setPeriodic(CHECK_INTERVAL_MS, id -> answerWaiting());
        server = vertx.createHttpServer().requestHandler(this::handle);
        return server.listen(port, host).mapEmpty();
    }

    public Future<Void> close() {
        vertx.cancelTimer(timer);
        return server == null ? Future.succeededFuture() : server.close();
    }

    public void change(boolean begins, Plan.TargetedFault fault) {
        agent.change(begins, fault);
    }

    /**
     * Returns the list that the gatherer received last, as the initial list of a process that
     * starts.
     */
    public ObjectNode lastSent() {
        return body(agent.lastSent());
    }

    private void handle(HttpServerRequest request) {
        if (!request.path().equals("/discovery/hosts")) {
            request.response().setStatusCode(404).end();
            return;
        }
        String after = request.getParam("after");
        double wait = Double.parseDouble(request.getParam("wait_ms", "0"));
        var call =
                new WaitingCall(
                        request,
                        after == null ? -1 : Long.parseLong(after),
                        clock.getAsDouble() + wait);
        request.response().exceptionHandler(failure -> waiting.remove(call));
        request.connection().closeHandler(none -> waiting.remove(call));
        if (!answer(call)) {
            waiting.add(call);
        }
    }

    private void answerWaiting() {
        waiting.removeIf(this::answer);
    }

    private boolean answer(WaitingCall call) {
        double now = clock.getAsDouble();
        Agent.Answer answer = agent.answer(now, call.after, now >= call.untilMs);
        if (answer == null) {
            return false;
        }
        call.request
                .response()
                .putHeader("Content-Type", "application/json")
                .end(body(answer).toString());
        recordChanges(now, answer);
        return true;
    }

    /**
     * Records in the ledger only the states that differ from those that this gatherer received
     * before.
     */
    private void recordChanges(double nowMs, Agent.Answer answer) {
        var states = new HashMap<String, Endpoint.State>();
        if (answer.snapshot()) {
            sentStates.keySet().forEach(name -> states.put(name, Endpoint.State.GONE));
        }
        answer.entries()
                .forEach(
                        entry ->
                                states.put(
                                        entry.name(),
                                        entry.status() == ServerList.Status.ACTIVE
                                                ? Endpoint.State.RUNNING
                                                : entry.status() == ServerList.Status.LEAVING
                                                        ? Endpoint.State.DRAINING
                                                        : Endpoint.State.GONE));
        states.forEach(
                (name, state) -> {
                    if (sentStates.put(name, state) != state) {
                        ledger.add(new Seen.Told(nowMs, gatherer, name, state));
                    }
                });
    }

    private ObjectNode body(Agent.Answer answer) {
        ObjectNode body =
                JSON.createObjectNode()
                        .put("index", answer.index())
                        .put("snapshot", answer.snapshot());
        var endpoints = body.putArray("endpoints");
        for (ServerList.Entry entry : answer.entries()) {
            endpoints
                    .addObject()
                    .put("name", entry.name())
                    .put("address", address.apply(entry))
                    .put("zone", entry.site())
                    .put("type", "rig")
                    .put("group", entry.cell())
                    .put("status", entry.status().name().toLowerCase(Locale.ROOT))
                    .put("weight", 1.0)
                    .put("since_ms", (long) entry.sinceMs());
        }
        return body;
    }
}
