package sprucehold.clients;

import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClosedException;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpHeaders;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.net.SocketAddress;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.DoubleSupplier;
import java.util.logging.Level;
import java.util.logging.Logger;
import sprucehold.coordinator.Answer;
import sprucehold.coordinator.Query;
import sprucehold.sockets.UnreadInput;

/**
 * HTTP server for clients. It reads requests into queries, passes them to a {@link QueryHandler}
 * and writes their answers. By itself it answers only health checks, requests that aren't valid
 * queries, and requests that failed with an exception. Runs on one event loop.
 *
 * <table>
 *   <caption>Paths and statuses</caption>
 *   <tr><th>in HTTP</th><th>meaning</th></tr>
 *   <tr><td>{@code GET /up}: 200, 503</td><td>ready, not ready</td></tr>
 *   <tr><td>{@code POST /CLASS}</td><td>a query of a query class; {@link QueryReader} lists
 *       its headers and keys</td></tr>
 *   <tr><td>200</td><td>{@link Answer.Completed}; {@link AnswerWriter} lists the keys of
 *       its body</td></tr>
 *   <tr><td>503 {@code throttled}, optionally with {@code Retry-After}</td>
 *       <td>{@link Answer.Rejected}</td></tr>
 *   <tr><td>502 {@code abandoned}</td><td>{@link Answer.Failed}</td></tr>
 *   <tr><td>400, 404, 405, 413, 414, 431, 501</td><td>the request isn't a valid query</td></tr>
 *   <tr><td>500</td><td>an exception in this program</td></tr>
 * </table>
 */
public final class ClientServer {
    private static final Logger LOG = Logger.getLogger(ClientServer.class.getName());
    private static final int MAX_LENGTH_DIGITS = 9;
    private static final String BODY_TOO_LONG = "a body holds at most 64 KiB";

    /**
     * Interval of {@link #sweep}, in milliseconds. It is short enough that a connection without a
     * complete request is closed well within 3 s, the protocol's limit for this close.
     */
    private static final int SWEEP_INTERVAL_MS = 250;

    /** Minimum interval between two log lines about rejected bodies, in milliseconds. */
    private static final double REFUSAL_LOG_INTERVAL_MS = 1000;

    private final HttpServer server;
    private final QueryHandler handler;
    private final QueryReader reader;
    private final DoubleSupplier clock;
    private final ReadPassTracker readPasses;
    private final ClientConnections<HttpConnection> connections;
    private final ConnectionAdmission admission;
    private final ResponseWriter responses;
    private final ClientMemory memory;

    /** Requests whose queries have no answer yet. Queries are compared by identity. */
    private final IdentityHashMap<Query, HttpServerRequest> openRequests = new IdentityHashMap<>();

    private boolean draining;
    private long clientsFoundDisconnected;
    private long refusedForMemory;
    private double refusalLoggedAtMs = Double.NEGATIVE_INFINITY;

    /**
     * @param vertx Vert.x instance; all methods are called on its event loop
     * @param shards number of shards
     * @param maxConnections maximum number of client connections
     * @param handler processes the queries
     * @param clock current time in milliseconds
     */
    public ClientServer(
            Vertx vertx,
            int shards,
            int maxConnections,
            QueryHandler handler,
            DoubleSupplier clock) {
        this(
                vertx,
                shards,
                maxConnections,
                handler,
                clock,
                LingeringClose.LINGER_MS,
                ClientMemory.ofHeap(maxConnections));
    }

    ClientServer(
            Vertx vertx,
            int shards,
            int maxConnections,
            QueryHandler handler,
            DoubleSupplier clock,
            long lingerMs,
            ClientMemory memory) {
        this.memory = memory;
        this.handler = handler;
        this.clock = clock;
        this.readPasses = new ReadPassTracker(clock);
        this.reader = new QueryReader(shards);
        this.connections = new ClientConnections<>(maxConnections, clock, new ChannelCloser());
        this.responses = new ResponseWriter(connections, this::recordRefusalForMemory);
        var options =
                new HttpServerOptions()
                        .setTcpNoDelay(true)
                        .setHandle100ContinueAutomatically(true)
                        .setHttp2ClearTextEnabled(false);
        this.admission =
                new ConnectionAdmission(
                        vertx, connections, readPasses, clock, options, lingerMs, memory);
        this.server = vertx.createHttpServer(options);
        server.connectionHandler(admission::opened);
        server.exceptionHandler(
                failure -> LOG.log(Level.FINE, "exception on a client connection", failure));
        server.requestHandler(request -> runGuarded(request, () -> handleRequest(request)));
        server.invalidRequestHandler(this::rejectUnreadable);
        vertx.setPeriodic(SWEEP_INTERVAL_MS, timer -> sweep());
    }

    /** Returns how many connections have exceeded the input buffer limit. */
    long overflows() {
        return admission.overflows();
    }

    /**
     * Schedules the closing of connections that have awaited a request or been idle for too long.
     */
    void sweep() {
        admission.closeMarkedIf(connections.markOverdue());
    }

    /** Starts listening on an address. */
    public Future<HttpServer> listen(SocketAddress address) {
        return server.listen(address);
    }

    private void handleRequest(HttpServerRequest request) {
        if (!connections.requestBegun(request.connection())) {
            return;
        }
        List<String> encodings = request.headers().getAll(HttpHeaders.TRANSFER_ENCODING);
        if (!encodings.isEmpty()
                && (encodings.size() > 1 || !encodings.get(0).equalsIgnoreCase("chunked"))) {
            // The end of the request's body can't be determined.
            responses.rejectAndClose(request, 501, "the only Transfer-Encoding is chunked");
        } else if (isTooLong(request.getHeader(HttpHeaders.CONTENT_LENGTH))) {
            responses.rejectAndClose(request, 413, BODY_TOO_LONG);
        } else {
            receive(request);
        }
    }

    private static boolean isTooLong(String length) {
        return length != null
                && (length.length() > MAX_LENGTH_DIGITS
                        || Integer.parseInt(length) > RequestBody.MAX_BYTES);
    }

    /** Collects the body of a request whose headers have been received. */
    private void receive(HttpServerRequest request) {
        double earliestArrivalMs =
                handler.earliestArrivalMs(
                        readPasses.passBeganAtMs(), connections.arrival(request.connection()));
        var body = new RequestBody(RequestInput.of(request.connection()).memory());
        request.response().endHandler(none -> body.release());
        request.response().closeHandler(none -> body.release());
        request.handler(bytes -> append(request, body, bytes));
        // Called for malformed chunks, after which the HTTP server closes the connection, and for a
        // client that disconnected, which needs no answer.
        request.exceptionHandler(
                failure -> {
                    if (!(failure instanceof HttpClosedException)) {
                        responses.rejectAndClose(request, 400, "not a body that can be read");
                    }
                });
        request.endHandler(
                none -> {
                    if (request.response().ended()) {
                        return;
                    }
                    connections.requestReceived(request.connection());
                    runGuarded(request, () -> route(request, body, earliestArrivalMs));
                });
    }

    private void append(HttpServerRequest request, RequestBody body, Buffer bytes) {
        switch (body.append(bytes)) {
            case YES -> {}
            case TOO_LONG -> responses.rejectAndClose(request, 413, BODY_TOO_LONG);
            case NO_MEMORY -> {
                body.release();
                rejectForLackOfMemory(request);
            }
        }
    }

    /** Rejects a request that is not received completely; asking again is harmless. */
    private void rejectForLackOfMemory(HttpServerRequest request) {
        recordRefusalForMemory();
        responses.rejectAndClose(request, 503, "throttled");
    }

    private void recordRefusalForMemory() {
        refusedForMemory++;
        double nowMs = clock.getAsDouble();
        if (nowMs - refusalLoggedAtMs >= REFUSAL_LOG_INTERVAL_MS) {
            refusalLoggedAtMs = nowMs;
            LOG.warning(
                    "requests rejected or failed, clients occupy too much memory:"
                            + " reserved_bytes="
                            + memory.reservedBytes()
                            + ", requests_refused="
                            + refusedForMemory);
        }
    }

    /**
     * Runs a step of a request. If the step throws, the client gets an error answer and its
     * connection is closed, so that the client doesn't wait for an answer that would never be sent.
     */
    private void runGuarded(HttpServerRequest request, Runnable step) {
        try {
            step.run();
        } catch (RuntimeException e) {
            LOG.log(Level.SEVERE, "panic: a request failed and its connection is closed", e);
            openRequests.entrySet().stream()
                    .filter(entry -> entry.getValue().equals(request))
                    .map(Map.Entry::getKey)
                    .findAny()
                    .ifPresent(this::disconnected);
            responses.rejectAndClose(request, 500, "this request failed");
        }
    }

    private void route(HttpServerRequest request, RequestBody body, double earliestArrivalMs) {
        String path = request.path() == null ? "" : request.path();
        if (path.equals("/up")) {
            answerHealthCheck(request);
            return;
        }
        String queryClass = path.startsWith("/") ? path.substring(1).split("/", 2)[0] : "";
        if (!handler.isQueryClass(queryClass)) {
            responses.end(request, 404, "no such table type");
        } else if (!request.method().equals(HttpMethod.POST)) {
            responses.rejectMethod(request, "POST only", "POST");
        } else {
            receiveQuery(request, queryClass, body, earliestArrivalMs);
        }
    }

    private void answerHealthCheck(HttpServerRequest request) {
        if (!request.method().equals(HttpMethod.GET) && !request.method().equals(HttpMethod.HEAD)) {
            responses.rejectMethod(request, "GET only", "GET, HEAD");
        } else if (handler.isReady()) {
            responses.end(request, 200, "up");
        } else {
            responses.end(request, 503, draining ? "ending" : "no list yet");
        }
    }

    private void receiveQuery(
            HttpServerRequest request,
            String queryClass,
            RequestBody body,
            double earliestArrivalMs) {
        Query query;
        try {
            double spentMs = clock.getAsDouble() - earliestArrivalMs;
            query = reader.read(queryClass, request.headers(), body.take(), spentMs);
        } catch (QueryReader.MalformedException e) {
            responses.end(request, 400, e.getMessage());
            return;
        }
        if (handler.isOpen(query)) {
            responses.end(request, 400, "a scan of this id is open");
            return;
        }
        if (handler.isSpent(query)) {
            responses.end(request, 400, "a scan of this id has run");
            return;
        }
        openRequests.put(query, request);
        RequestInput.of(request.connection()).queryOpened();
        request.response()
                .closeHandler(
                        none -> {
                            body.release();
                            disconnected(query);
                        });
        handler.receive(query);
    }

    private void disconnected(Query query) {
        if (openRequests.remove(query) != null) {
            handler.disconnected(query);
        }
    }

    /**
     * Returns whether the client of an unanswered query is still connected, judged by all input
     * received on its connection up to now; unread input is read first. A client that has sent more
     * than can be read at once counts as disconnected, and its connection is closed, since its
     * close may lie behind. If the client has disconnected, this is reported to the {@link
     * QueryHandler} at once, before the event loop reports the end of the connection.
     */
    public boolean isClientConnected(Query query) {
        HttpServerRequest request = openRequests.get(query);
        if (request == null) {
            return false;
        }
        if (UnreadInput.readAll(ChannelCloser.channel(request.connection()))) {
            return true;
        }
        clientsFoundDisconnected++;
        disconnected(query);
        // Has no effect on a connection that is closed already.
        connections.abort(request.connection());
        return false;
    }

    /**
     * Returns how many clients were found to have disconnected right before an attempt for them
     * would have been written.
     */
    public long clientsFoundDisconnected() {
        return clientsFoundDisconnected;
    }

    /**
     * Returns how many requests were rejected or failed because all clients together occupied too
     * much memory.
     */
    public long refusedForMemory() {
        return refusedForMemory;
    }

    /** Sends the final answer of a query, unless its client has disconnected. */
    public void answer(Query query, Answer answer) {
        HttpServerRequest request = openRequests.remove(query);
        if (request != null) {
            responses.end(request, answer);
        }
    }

    /**
     * Rejects input that can't be read as a request. The connection is closed, since the start of
     * the next request is unknown.
     */
    private void rejectUnreadable(HttpServerRequest request) {
        if (connections.requestBegun(request.connection())) {
            Throwable cause = request.decoderResult().cause();
            if (cause instanceof StrictDecoder.NoMemoryException) {
                rejectForLackOfMemory(request);
            } else {
                responses.rejectAndClose(
                        request, statusOfUnreadable(cause), "not a request that can be read");
            }
        }
    }

    private static int statusOfUnreadable(Throwable cause) {
        if (cause instanceof TooLongHttpLineException) {
            return 414;
        }
        return cause instanceof TooLongHttpHeaderException ? 431 : 400;
    }

    /**
     * Makes every answer from now on the last on its connection, so that clients connect to another
     * gatherer.
     */
    public void drain() {
        draining = true;
        responses.drain();
    }

    /** Schedules the closing of idle connections. */
    public void closeIdleConnections() {
        admission.closeMarkedIf(connections.markIdle());
    }

    /**
     * Returns the number of connections on which a request is probably arriving, which will need an
     * answer.
     */
    public int arrivingRequests() {
        return connections.arriving();
    }

    /** Returns the number of connections that are open or being closed. */
    public int connectionCount() {
        return connections.size();
    }

    /**
     * Returns the number of requests that have no answer yet or whose answer isn't completely
     * written.
     */
    public int pendingAnswerCount() {
        return openRequests.size() + responses.pendingWrites();
    }

    /**
     * Closes the listening socket and all connections. Answers already written are still delivered.
     */
    public Future<Void> close() {
        return server.close();
    }
}
