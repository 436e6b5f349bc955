package sprucehold.clients;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import java.util.HashMap;
import java.util.HashSet;
import java.util.IdentityHashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.DoubleSupplier;
import java.util.logging.Level;
import java.util.logging.Logger;
import sprucehold.picker.Answer;
import sprucehold.picker.Scan;

/** The HTTP server that clients reach. */
public final class ClientServer {
    private static final Logger LOG = Logger.getLogger(ClientServer.class.getName());
    private static final int LONGEST_BODY = 64 * 1024;
    /** Clients on a machine that vanished say nothing; their connections mustn't hold descriptors for good. */
    private static final int IDLE_SECONDS = 120;

    private final HttpServer server;
    private final Desk desk;
    private final ScanReader reader;
    private final DoubleSupplier clock;
    private final Map<Scan, HttpServerRequest> open = new IdentityHashMap<>();
    /** Each connection and how many requests it has under way. */
    private final Map<HttpConnection, Integer> connections = new HashMap<>();
    private boolean draining;

    public ClientServer(Vertx vertx, int segments, Desk desk, DoubleSupplier clock) {
        this.desk = desk;
        this.clock = clock;
        this.reader = new ScanReader(segments);
        this.server = vertx.createHttpServer(new HttpServerOptions().setTcpNoDelay(true)
                .setIdleTimeout(IDLE_SECONDS).setHandle100ContinueAutomatically(true));
        server.connectionHandler(connection -> {
            connections.put(connection, 0);
            connection.closeHandler(none -> connections.remove(connection));
            connection.exceptionHandler(failure -> LOG.log(Level.FINE, "client connection", failure));
        });
        server.exceptionHandler(failure -> LOG.log(Level.FINE, "client connection", failure));
        server.requestHandler(this::requested);
    }

    public Future<HttpServer> listen(String host, int port) {
        return server.listen(port, host);
    }

    private void requested(HttpServerRequest request) {
        connections.computeIfPresent(request.connection(), (connection, requests) -> requests + 1);
        double cameAt = clock.getAsDouble();
        var body = Buffer.buffer();
        request.handler(bytes -> {
            if (body.length() <= LONGEST_BODY) {
                body.appendBuffer(bytes);
            }
        });
        request.endHandler(none -> {
            try {
                route(request, body, cameAt);
            } catch (RuntimeException e) {
                LOG.log(Level.SEVERE, "panic: a request failed and its connection is closed", e);
                request.connection().close();
            }
        });
    }

    private void route(HttpServerRequest request, Buffer body, double cameAt) {
        String path = request.path() == null ? "" : request.path();
        if (path.equals("/up")) {
            if (request.method() != HttpMethod.GET && request.method() != HttpMethod.HEAD) {
                reject(request, 405, "GET only", "GET, HEAD");
            } else if (desk.ready()) {
                reject(request, 200, "up", null);
            } else {
                reject(request, 503, draining ? "ending" : "no list yet", null);
            }
            return;
        }
        String tableType = path.startsWith("/") ? path.substring(1).split("/", 2)[0] : "";
        if (!desk.isTableType(tableType)) {
            reject(request, 404, "no such table type", null);
        } else if (request.method() != HttpMethod.POST) {
            reject(request, 405, "POST only", "POST");
        } else if (body.length() > LONGEST_BODY) {
            reject(request, 413, "a body holds at most 64 KiB", null);
        } else {
            take(request, tableType, body, cameAt);
        }
    }

    private void take(HttpServerRequest request, String tableType, Buffer body, double cameAt) {
        Scan scan;
        try {
            scan = reader.read(tableType, request.headers(), body.getBytes(), clock.getAsDouble() - cameAt);
        } catch (ScanReader.MalformedException e) {
            reject(request, 400, e.getMessage(), null);
            return;
        }
        if (desk.isOpen(scan)) {
            reject(request, 400, "a scan of this id is open", null);
            return;
        }
        open.put(scan, request);
        request.response().closeHandler(none -> {
            if (open.remove(scan) != null) {
                desk.left(scan);
            }
        });
        desk.take(scan);
    }

    /** Sends the final answer of a scan; one whose client has left gets none. */
    public void answer(Scan scan, Answer answer) {
        HttpServerRequest request = open.remove(scan);
        if (request == null) {
            return;
        }
        HttpServerResponse response = request.response();
        if (answer instanceof Answer.Completed completed) {
            response.putHeader("Content-Type", "application/json");
            end(request, 200, Buffer.buffer(AnswerWriter.body(completed)));
        } else if (answer instanceof Answer.Throttled throttled) {
            if (throttled.comeBackMs() > 0) {
                response.putHeader("Retry-After", AnswerWriter.seconds(throttled.comeBackMs()));
            }
            end(request, 503, Buffer.buffer("throttled\n"));
        } else {
            end(request, 502, Buffer.buffer("abandoned\n"));
        }
    }

    private void reject(HttpServerRequest request, int status, String reason, String allow) {
        if (allow != null) {
            request.response().putHeader("Allow", allow);
        }
        end(request, status, Buffer.buffer(reason + "\n"));
    }

    private void end(HttpServerRequest request, int status, Buffer body) {
        HttpServerResponse response = request.response();
        if (response.ended() || response.closed()) {
            return;
        }
        if (draining) {
            response.putHeader("Connection", "close");
        }
        response.setStatusCode(status).end(body).onComplete(done -> {
            connections.computeIfPresent(request.connection(), (connection, requests) -> requests - 1);
            if (draining) {
                request.connection().close();
            }
        });
    }

    /** From now on answers ask clients to go elsewhere. */
    public void drain() {
        draining = true;
    }

    /** Closes connections that have no request under way. */
    public void closeIdle() {
        Set<HttpConnection> idle = new HashSet<>();
        connections.forEach((connection, requests) -> {
            if (requests == 0) {
                idle.add(connection);
            }
        });
        idle.forEach(HttpConnection::close);
    }

    public int connections() {
        return connections.size();
    }

    /** Requests that have no answer yet, or one that isn't written out. */
    public int underWay() {
        return connections.values().stream().mapToInt(Integer::intValue).sum();
    }

    /** Ends the listener and all connections. */
    public Future<Void> close() {
        return server.close();
    }
}
