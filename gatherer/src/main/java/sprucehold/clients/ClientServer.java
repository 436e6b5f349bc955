package sprucehold.clients;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.FixedRecvByteBufAllocator;
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
import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.http.impl.HttpServerConnection;
import io.vertx.core.net.SocketAddress;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.DoubleSupplier;
import java.util.logging.Level;
import java.util.logging.Logger;
import sprucehold.coordinator.Answer;
import sprucehold.coordinator.Query;
import sprucehold.sockets.AcceptingTransport;
import sprucehold.sockets.UnreadInput;

/** The HTTP server that clients reach. */
public final class ClientServer {
    private static final Logger LOG = Logger.getLogger(ClientServer.class.getName());
    private static final int LONGEST_BODY = 64 * 1024;
    private static final String TOO_LONG = "a body holds at most 64 KiB";

    /**
     * How often connections are looked after; with it, who says nothing is closed well inside 3 s.
     */
    private static final int SWEEP_MS = 250;

    /** How much is read at once: a request of the usual size several times over. */
    private static final int READ_BYTES = 4096;

    /**
     * What a connection brings into one pass over the sockets: others are read and decided upon
     * between two parts of a flood.
     */
    private static final int READS_A_PASS = 2;

    private final HttpServer server;
    private final QueryHandler handler;
    private final QueryReader reader;
    private final DoubleSupplier clock;
    private final ReadingPasses passes;
    private final Map<Query, HttpServerRequest> open = new IdentityHashMap<>();
    private final Vertx vertx;
    private final ClientConnections<HttpConnection> connections;

    /** Answers that aren't written out. */
    private int writing;

    private boolean draining;
    private boolean trimming;
    private boolean settling;
    private final long lingerMs;
    private long floods;
    private long leftUnread;

    /** {@code most} is how many connections clients may hold. */
    public ClientServer(
            Vertx vertx, int segments, int most, QueryHandler handler, DoubleSupplier clock) {
        this(vertx, segments, most, handler, clock, LingeringClose.LINGER_MS);
    }

    ClientServer(
            Vertx vertx,
            int segments,
            int most,
            QueryHandler handler,
            DoubleSupplier clock,
            long lingerMs) {
        this.lingerMs = lingerMs;
        this.vertx = vertx;
        this.handler = handler;
        this.clock = clock;
        this.passes = new ReadingPasses(clock);
        this.reader = new QueryReader(segments);
        this.connections = new ClientConnections<>(most, clock, new ChannelCloser());
        var options =
                new HttpServerOptions()
                        .setTcpNoDelay(true)
                        .setHandle100ContinueAutomatically(true)
                        .setHttp2ClearTextEnabled(false);
        this.server = vertx.createHttpServer(options);
        server.connectionHandler(connection -> opened(connection, options));
        server.exceptionHandler(failure -> LOG.log(Level.FINE, "client connection", failure));
        server.requestHandler(request -> guarded(request, () -> requested(request)));
        server.invalidRequestHandler(this::unreadable);
        vertx.setPeriodic(SWEEP_MS, timer -> sweep());
    }

    private static Channel channel(HttpConnection connection) {
        return ((HttpServerConnection) connection).channelHandlerContext().channel();
    }

    private static final class ChannelCloser implements ClientConnections.Closer<HttpConnection> {
        @Override
        public void readUnread(HttpConnection connection) {
            UnreadInput.readAll(channel(connection));
        }

        @Override
        public void shut(HttpConnection connection) {
            // Not by way of the HTTP server: what isn't read and who waits behind must not hold up
            // the close.
            ChannelHandlerContext ending = ending(connection);
            ((LingeringClose) ending.handler()).close(ending, ending.newPromise());
        }

        @Override
        public void cut(HttpConnection connection) {
            ChannelHandlerContext ending = ending(connection);
            ((LingeringClose) ending.handler()).cut(ending);
        }

        private static ChannelHandlerContext ending(HttpConnection connection) {
            return channel(connection).pipeline().context(LingeringClose.class);
        }
    }

    private void opened(HttpConnection connection, HttpServerOptions options) {
        // A size of its own: one that adapts would shrink with each look at a socket that has
        // nothing.
        channel(connection)
                .config()
                .setRecvByteBufAllocator(
                        new FixedRecvByteBufAllocator(READ_BYTES).maxMessagesPerRead(READS_A_PASS));
        connection.exceptionHandler(failure -> LOG.log(Level.FINE, "client connection", failure));
        connection.closeHandler(none -> connections.gone(connection));
        var closing =
                new LingeringClose(
                        lingerMs,
                        () -> passes.reading(channel(connection).eventLoop()),
                        () -> flooded(connection),
                        () -> connections.shutting(connection));
        channel(connection)
                .pipeline()
                .addFirst(closing)
                .replace("httpDecoder", "httpDecoder", new StrictDecoder(options));
        double connectedSince =
                clock.getAsDouble() - AcceptingTransport.backlogSeenEmptyMsAgo(channel(connection));
        if (connections.opened(connection, connectedSince) && !trimming) {
            trimming = true;
            // A pass over the sockets later, so that what they have sent is read: a burst isn't a
            // flood.
            vertx.setTimer(
                    1,
                    timer -> {
                        trimming = false;
                        connections.trim();
                    });
        }
    }

    private void flooded(HttpConnection connection) {
        floods++;
        connections.flooded(connection);
    }

    /** How many connections sent more at once than may wait. */
    long floods() {
        return floods;
    }

    /** Looks after connections that stand too long. */
    void sweep() {
        settleIf(connections.sweep());
    }

    /**
     * Has what a sweep found closed a pass over the sockets later, so that what they have sent is
     * read.
     */
    private void settleIf(boolean due) {
        if (due && !settling) {
            settling = true;
            vertx.setTimer(
                    1,
                    timer -> {
                        settling = false;
                        connections.settle();
                    });
        }
    }

    public Future<HttpServer> listen(SocketAddress at) {
        return server.listen(at);
    }

    private void requested(HttpServerRequest request) {
        if (!connections.begun(request.connection())) {
            return;
        }
        List<String> encodings = request.headers().getAll(HttpHeaders.TRANSFER_ENCODING);
        String length = request.getHeader(HttpHeaders.CONTENT_LENGTH);
        if (!encodings.isEmpty()
                && (encodings.size() > 1 || !encodings.get(0).equalsIgnoreCase("chunked"))) {
            // Where its body ends can't be told.
            last(request, 501, "the only Transfer-Encoding is chunked");
            return;
        } else if (length != null
                && (length.length() > 9 || Integer.parseInt(length) > LONGEST_BODY)) {
            last(request, 413, TOO_LONG);
            return;
        }
        double cameAt =
                handler.unreadSince(passes.beganAt(), connections.arrival(request.connection()));
        var body = Buffer.buffer();
        request.handler(
                bytes -> {
                    if (body.length() + bytes.length() > LONGEST_BODY) {
                        last(request, 413, TOO_LONG);
                    } else {
                        body.appendBuffer(bytes);
                    }
                });
        // Chunks that can't be read; the HTTP server closes the connection next. A client that left
        // needs no answer.
        request.exceptionHandler(
                failure -> {
                    if (!(failure instanceof HttpClosedException)) {
                        last(request, 400, "not a body that can be read");
                    }
                });
        request.endHandler(
                none -> {
                    if (request.response().ended()) {
                        return;
                    }
                    connections.busy(request.connection());
                    guarded(request, () -> route(request, body, cameAt));
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
            open.entrySet().stream()
                    .filter(entry -> entry.getValue() == request)
                    .map(Map.Entry::getKey)
                    .findAny()
                    .ifPresent(
                            query -> {
                                open.remove(query);
                                handler.left(query);
                            });
            last(request, 500, "this request failed");
        }
    }

    private void route(HttpServerRequest request, Buffer body, double cameAt) {
        String path = request.path() == null ? "" : request.path();
        if (path.equals("/up")) {
            if (request.method() != HttpMethod.GET && request.method() != HttpMethod.HEAD) {
                reject(request, 405, "GET only", "GET, HEAD");
            } else if (handler.ready()) {
                reject(request, 200, "up", null);
            } else {
                reject(request, 503, draining ? "ending" : "no list yet", null);
            }
            return;
        }
        String tableType = path.startsWith("/") ? path.substring(1).split("/", 2)[0] : "";
        if (!handler.isTableType(tableType)) {
            reject(request, 404, "no such table type", null);
        } else if (request.method() != HttpMethod.POST) {
            reject(request, 405, "POST only", "POST");
        } else {
            take(request, tableType, body, cameAt);
        }
    }

    private void take(HttpServerRequest request, String tableType, Buffer body, double cameAt) {
        Query query;
        try {
            query =
                    reader.read(
                            tableType,
                            request.headers(),
                            body.getBytes(),
                            clock.getAsDouble() - cameAt);
        } catch (QueryReader.MalformedException e) {
            reject(request, 400, e.getMessage(), null);
            return;
        }
        if (handler.isOpen(query)) {
            reject(request, 400, "a scan of this id is open", null);
            return;
        }
        open.put(query, request);
        request.response().closeHandler(none -> left(query));
        handler.take(query);
    }

    private void left(Query query) {
        if (open.remove(query) != null) {
            handler.left(query);
        }
    }

    /**
     * Whether the client of a scan that has no answer still waits, by all that has reached its
     * connection up to this moment: what lies unread there is read first. One that has closed is
     * reported as left right now, before its connection's end is told by the loop.
     */
    public boolean waits(Query query) {
        HttpServerRequest request = open.get(query);
        if (request == null) {
            return false;
        }
        if (UnreadInput.readAll(channel(request.connection()))) {
            return true;
        }
        leftUnread++;
        left(query);
        return false;
    }

    /**
     * How many clients were found to have left right before an attempt for them would have begun.
     */
    public long leftUnread() {
        return leftUnread;
    }

    /** Sends the final answer of a scan; one whose client has left gets none. */
    public void answer(Query query, Answer answer) {
        HttpServerRequest request = open.remove(query);
        if (request == null) {
            return;
        }
        HttpServerResponse response = request.response();
        if (answer instanceof Answer.Completed completed) {
            response.putHeader("Content-Type", "application/json");
            end(request, 200, Buffer.buffer(AnswerWriter.body(completed)));
        } else if (answer instanceof Answer.Rejected throttled) {
            if (throttled.retryAfterMs() > 0) {
                response.putHeader("Retry-After", AnswerWriter.seconds(throttled.retryAfterMs()));
            }
            end(request, 503, Buffer.buffer("throttled\n"));
        } else {
            end(request, 502, Buffer.buffer("abandoned\n"));
        }
    }

    /** What can't be read as a request; nobody knows where a next one would begin. */
    private void unreadable(HttpServerRequest request) {
        if (connections.begun(request.connection())) {
            Throwable why = request.decoderResult().cause();
            last(
                    request,
                    why instanceof TooLongHttpLineException
                            ? 414
                            : why instanceof TooLongHttpHeaderException ? 431 : 400,
                    "not a request that can be read");
        }
    }

    /** Rejects a request of which more may come, and all else on its connection. */
    private void last(HttpServerRequest request, int status, String reason) {
        if (!request.response().ended()) {
            end(request, status, Buffer.buffer(reason + "\n"), true);
        }
    }

    private void reject(HttpServerRequest request, int status, String reason, String allow) {
        if (allow != null) {
            request.response().putHeader("Allow", allow);
        }
        end(request, status, Buffer.buffer(reason + "\n"));
    }

    private void end(HttpServerRequest request, int status, Buffer body) {
        end(
                request,
                status,
                body,
                draining || connections.crowded() || connections.isUnheard(request.connection()));
    }

    private void end(HttpServerRequest request, int status, Buffer body, boolean close) {
        HttpServerResponse response = request.response();
        if (response.ended() || response.closed()) {
            return;
        }
        HttpConnection connection = request.connection();
        if (close) {
            response.putHeader("Connection", "close");
            connections.last(connection);
        }
        writing++;
        response.setStatusCode(status)
                .end(body)
                .onComplete(
                        done -> {
                            writing--;
                            if (close) {
                                connections.shut(connection);
                            } else {
                                connections.answered(connection);
                            }
                        });
    }

    /** From now on answers ask clients to go elsewhere. */
    public void drain() {
        draining = true;
    }

    /** Closes connections that have no request under way. */
    public void closeIdle() {
        settleIf(connections.sweepKept());
    }

    /** Connections on which a request is most likely coming in, which will want an answer. */
    public int arriving() {
        return connections.arriving();
    }

    public int connections() {
        return connections.size();
    }

    /** Requests that have no answer yet, or one that isn't written out. */
    public int underWay() {
        return open.size() + writing;
    }

    /** Ends the listener and all connections, each so that what was written still arrives. */
    public Future<Void> close() {
        return server.close();
    }
}
