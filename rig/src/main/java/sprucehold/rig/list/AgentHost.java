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

/** One gatherer's agent of discovery on a socket; what it told is in the ledger. */
public final class AgentHost {
    private static final ObjectMapper JSON = new ObjectMapper();

    /** How often calls that wait are looked at: news is told within so long. */
    private static final long LOOK_MS = 5;

    private record Waiting(HttpServerRequest request, long after, double untilMs) {}

    private final Vertx vertx;
    private final DoubleSupplier clock;
    private final Ledger ledger;
    private final Agent agent;
    private final String gatherer;
    private final Function<ServerList.Entry, String> address;
    private final List<Waiting> waiting = new ArrayList<>();
    private final Map<String, Endpoint.State> told = new HashMap<>();
    private HttpServer server;
    private long timer;

    /**
     * @param address where this gatherer meets a server
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
        timer = vertx.setPeriodic(LOOK_MS, id -> look());
        server = vertx.createHttpServer().requestHandler(this::take);
        return server.listen(port, host).mapEmpty();
    }

    public Future<Void> close() {
        vertx.cancelTimer(timer);
        return server == null ? Future.succeededFuture() : server.close();
    }

    public void change(boolean begins, Plan.Befall fault) {
        agent.change(begins, fault);
    }

    /** The list as its gatherer last had it, for one that starts. */
    public ObjectNode known() {
        return body(agent.known());
    }

    private void take(HttpServerRequest request) {
        if (!request.path().equals("/discovery/hosts")) {
            request.response().setStatusCode(404).end();
            return;
        }
        String after = request.getParam("after");
        double wait = Double.parseDouble(request.getParam("wait_ms", "0"));
        var call =
                new Waiting(
                        request,
                        after == null ? -1 : Long.parseLong(after),
                        clock.getAsDouble() + wait);
        request.response().exceptionHandler(failure -> waiting.remove(call));
        request.connection().closeHandler(none -> waiting.remove(call));
        if (!answer(call)) {
            waiting.add(call);
        }
    }

    private void look() {
        waiting.removeIf(this::answer);
    }

    private boolean answer(Waiting call) {
        double now = clock.getAsDouble();
        Agent.News news = agent.ask(now, call.after, now >= call.untilMs);
        if (news == null) {
            return false;
        }
        call.request
                .response()
                .putHeader("Content-Type", "application/json")
                .end(body(news).toString());
        tell(now, news);
        return true;
    }

    /** Only what differs from what it was told before goes into the ledger. */
    private void tell(double nowMs, Agent.News news) {
        var modes = new HashMap<String, Endpoint.State>();
        if (news.whole()) {
            told.keySet().forEach(name -> modes.put(name, Endpoint.State.GONE));
        }
        news.entries()
                .forEach(
                        entry ->
                                modes.put(
                                        entry.name(),
                                        entry.status() == ServerList.Status.ACTIVE
                                                ? Endpoint.State.RUNNING
                                                : entry.status() == ServerList.Status.LEAVING
                                                        ? Endpoint.State.DRAINING
                                                        : Endpoint.State.GONE));
        modes.forEach(
                (name, mode) -> {
                    if (told.put(name, mode) != mode) {
                        ledger.add(new Seen.Told(nowMs, gatherer, name, mode));
                    }
                });
    }

    private ObjectNode body(Agent.News news) {
        ObjectNode body =
                JSON.createObjectNode().put("index", news.index()).put("snapshot", news.whole());
        var endpoints = body.putArray("endpoints");
        for (ServerList.Entry entry : news.entries()) {
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
