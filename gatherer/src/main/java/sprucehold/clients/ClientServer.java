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
 * The HTTP server that clients reach. It reads requests into queries, hands them to a {@link
 * QueryHandler} and writes their answers; by itself it answers only health checks and what can't be
 * a query. Runs on one event loop.
 *
 * <table>
 *   <caption>Paths and statuses</caption>
 *   <tr><th>there</th><th>our term</th></tr>
 *   <tr><td>{@code GET /up}: 200, 503</td><td>ready, not ready</td></tr>
 *   <tr><td>{@code POST /CLASS}</td><td>a query of a query class; {@link QueryReader} has its
 *       headers and body</td></tr>
 *   <tr><td>200</td><td>{@link Answer.Completed}; {@link AnswerWriter} has its body</td></tr>
 *   <tr><td>503 {@code throttled}, perhaps with {@code Retry-After}</td>
 *       <td>{@link Answer.Rejected}</td></tr>
 *   <tr><td>502 {@code abandoned}</td><td>{@link Answer.Failed}</td></tr>
 *   <tr><td>400, 404, 405, 413, 414, 431, 501</td><td>no query can be read</td></tr>
 *   <tr><td>500</td><td>an exception in this program</td></tr>
 * </table>
 */
public final class ClientServer {
    private static final Logger LOG = Logger.getLogger(ClientServer.class.getName());
    private static final int LONGEST_BODY_BYTES = 64 * 1024;
    private static final int LONGEST_LENGTH_DIGITS = 9;
    private static final String TOO_LONG = "a body holds at most 64 KiB";

    /**
     * How often connections are looked after; with it, who says nothing is closed well inside 3 s.
     */
    private static final int SWEEP_MS = 250;

    private final HttpServer server;
    private final QueryHandler handler;
    private final QueryReader reader;
    private final DoubleSupplier clock;
    private final ReadingPasses passes;
    private final ClientConnections<HttpConnection> connections;
    private final ConnectionAdmission admission;
    private final ResponseWriter responses;

    /** Requests whose queries have no answer yet. Queries are told apart by identity. */
    private final IdentityHashMap<Query, HttpServerRequest> openRequests = new IdentityHashMap<>();

    private boolean draining;
    private long clientsFoundGone;

    /**
     * @param vertx on whose event loop all is called
     * @param shards how many shards there are
     * @param maxConnections how many connections clients may hold
     * @param handler takes the queries
     * @param clock the time in milliseconds
     */
    public ClientServer(
            Vertx vertx,
            int shards,
            int maxConnections,
            QueryHandler handler,
            DoubleSupplier clock) {
        this(vertx, shards, maxConnections, handler, clock, LingeringClose.LINGER_MS);
    }

    ClientServer(
            Vertx vertx,
            int shards,
            int maxConnections,
            QueryHandler handler,
            DoubleSupplier clock,
            long lingerMs) {
        this.handler = handler;
        this.clock = clock;
        this.passes = new ReadingPasses(clock);
        this.reader = new QueryReader(shards);
        this.connections = new ClientConnections<>(maxConnections, clock, new ChannelCloser());
        this.responses = new ResponseWriter(connections);
        var options =
                new HttpServerOptions()
                        .setTcpNoDelay(true)
                        .setHandle100ContinueAutomatically(true)
                        .setHttp2ClearTextEnabled(false);
        this.admission =
                new ConnectionAdmission(vertx, connections, passes, clock, options, lingerMs);
        this.server = vertx.createHttpServer(options);
        server.connectionHandler(admission::opened);
        server.exceptionHandler(failure -> LOG.log(Level.FINE, "client connection", failure));
        server.requestHandler(request -> guarded(request, () -> requested(request)));
        server.invalidRequestHandler(this::unreadable);
        vertx.setPeriodic(SWEEP_MS, timer -> sweep());
    }

    /** How many connections sent more at once than may wait. */
    long floods() {
        return admission.floods();
    }

    /** Looks after connections that stand too long. */
    void sweep() {
        admission.closeMarkedIf(connections.markOverdue());
    }

    /** Begins to listen. */
    public Future<HttpServer> listen(SocketAddress at) {
        return server.listen(at);
    }

    private void requested(HttpServerRequest request) {
        if (!connections.requestBegun(request.connection())) {
            return;
        }
        List<String> encodings = request.headers().getAll(HttpHeaders.TRANSFER_ENCODING);
        if (!encodings.isEmpty()
                && (encodings.size() > 1 || !encodings.get(0).equalsIgnoreCase("chunked"))) {
            // Where its body ends can't be told.
            responses.rejectLast(request, 501, "the only Transfer-Encoding is chunked");
        } else if (isTooLong(request.getHeader(HttpHeaders.CONTENT_LENGTH))) {
            responses.rejectLast(request, 413, TOO_LONG);
        } else {
            receive(request);
        }
    }

    private static boolean isTooLong(String length) {
        return length != null
                && (length.length() > LONGEST_LENGTH_DIGITS
                        || Integer.parseInt(length) > LONGEST_BODY_BYTES);
    }

    /** Collects the body of a request whose head has come. */
    private void receive(HttpServerRequest request) {
        double sentAtMs =
                handler.unreadSince(passes.beganAtMs(), connections.arrival(request.connection()));
        var body = Buffer.buffer();
        request.handler(
                bytes -> {
                    if (body.length() + bytes.length() > LONGEST_BODY_BYTES) {
                        responses.rejectLast(request, 413, TOO_LONG);
                    } else {
                        body.appendBuffer(bytes);
                    }
                });
        // Chunks that can't be read; the HTTP server closes the connection next. A client that
        // disconnected needs no answer.
        request.exceptionHandler(
                failure -> {
                    if (!(failure instanceof HttpClosedException)) {
                        responses.rejectLast(request, 400, "not a body that can be read");
                    }
                });
        request.endHandler(
                none -> {
                    if (request.response().ended()) {
                        return;
                    }
                    connections.requestReceived(request.connection());
                    guarded(request, () -> route(request, body, sentAtMs));
                });
    }

    /**
     * A request that fails is answered as such, and ends its connection: its client must not wait
     * for nobody.
     */
    private void guarded(HttpServerRequest request, Runnable step) {
        try {
            step.run();
        } catch (RuntimeException e) {
            LOG.log(Level.SEVERE, "panic: a request failed and its connection is closed", e);
            openRequests.entrySet().stream()
                    .filter(entry -> entry.getValue().equals(request))
                    .map(Map.Entry::getKey)
                    .findAny()
                    .ifPresent(this::disconnected);
            responses.rejectLast(request, 500, "this request failed");
        }
    }

    private void route(HttpServerRequest request, Buffer body, double sentAtMs) {
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
            receiveQuery(request, queryClass, body, sentAtMs);
        }
    }

    private void answerHealthCheck(HttpServerRequest request) {
        if (!request.method().equals(HttpMethod.GET) && !request.method().equals(HttpMethod.HEAD)) {
            responses.rejectMethod(request, "GET only", "GET, HEAD");
        } else if (handler.ready()) {
            responses.end(request, 200, "up");
        } else {
            responses.end(request, 503, draining ? "ending" : "no list yet");
        }
    }

    private void receiveQuery(
            HttpServerRequest request, String queryClass, Buffer body, double sentAtMs) {
        Query query;
        try {
            double spentMs = clock.getAsDouble() - sentAtMs;
            query = reader.read(queryClass, request.headers(), body.getBytes(), spentMs);
        } catch (QueryReader.MalformedException e) {
            responses.end(request, 400, e.getMessage());
            return;
        }
        if (handler.isOpen(query)) {
            responses.end(request, 400, "a scan of this id is open");
            return;
        }
        openRequests.put(query, request);
        request.response().closeHandler(none -> disconnected(query));
        handler.receive(query);
    }

    private void disconnected(Query query) {
        if (openRequests.remove(query) != null) {
            handler.disconnected(query);
        }
    }

    /**
     * Whether the client of a query that has no answer still waits, by all that has reached its
     * connection up to this moment: what lies unread there is read first. One that has closed is
     * reported as disconnected right now, before its connection's end is told by the loop.
     */
    public boolean clientWaits(Query query) {
        HttpServerRequest request = openRequests.get(query);
        if (request == null) {
            return false;
        }
        if (UnreadInput.readAll(ChannelCloser.channel(request.connection()))) {
            return true;
        }
        clientsFoundGone++;
        disconnected(query);
        return false;
    }

    /**
     * How many clients were found to have disconnected right before an attempt for them would have
     * begun.
     */
    public long clientsFoundGone() {
        return clientsFoundGone;
    }

    /** Sends the final answer of a query; one whose client has disconnected gets none. */
    public void answer(Query query, Answer answer) {
        HttpServerRequest request = openRequests.remove(query);
        if (request != null) {
            responses.end(request, answer);
        }
    }

    /** What can't be read as a request; nobody knows where a next one would begin. */
    private void unreadable(HttpServerRequest request) {
        if (connections.requestBegun(request.connection())) {
            int status = unreadableStatus(request.decoderResult().cause());
            responses.rejectLast(request, status, "not a request that can be read");
        }
    }

    private static int unreadableStatus(Throwable why) {
        if (why instanceof TooLongHttpLineException) {
            return 414;
        }
        return why instanceof TooLongHttpHeaderException ? 431 : 400;
    }

    /** From now on answers ask clients to go elsewhere. */
    public void drain() {
        draining = true;
        responses.drain();
    }

    /** Closes connections that have no request under way. */
    public void closeIdleConnections() {
        admission.closeMarkedIf(connections.markIdle());
    }

    /** Connections on which a request is most likely coming in, which will want an answer. */
    public int arrivingRequests() {
        return connections.arriving();
    }

    /** Connections that are open or being closed. */
    public int connections() {
        return connections.size();
    }

    /** Requests that have no answer yet, or one that isn't written out. */
    public int pendingAnswers() {
        return openRequests.size() + responses.writing();
    }

    /** Ends the listener and all connections, each so that what was written still arrives. */
    public Future<Void> close() {
        return server.close();
    }
}
