package sprucehold.admin;

import com.fasterxml.jackson.databind.JsonNode;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;
import java.util.logging.Logger;
import sprucehold.change.document.DocumentReader;

/**
 * The HTTP server for operators ({@code --door}): one JSON value in, one out. It bounds what a
 * caller can occupy and lets nobody pass without the token; {@link AdminRoutes} answers.
 */
public final class AdminServer {
    private static final Logger LOG = Logger.getLogger(AdminServer.class.getName());

    /** Operators are few, and a flood must not take the descriptors that clients need. */
    private static final int MAX_CONNECTIONS = 16;

    /** What surrounds the document in a proposal, in bytes. */
    private static final int MAX_ENVELOPE_BYTES = 4096;

    private static final int MAX_BODY_BYTES = DocumentReader.MAX_BYTES + MAX_ENVELOPE_BYTES;
    private static final int MAX_HEADER_BYTES = 8192;

    /** A connection on which nothing is sent or read for so long is closed. */
    private static final int IDLE_TIMEOUT_SECONDS = 10;

    private final Vertx vertx;
    private final AccessToken token;
    private final AdminRoutes routes;
    private final Set<HttpConnection> connections = new HashSet<>();
    private HttpServer server;

    /**
     * @param vertx runs the server
     * @param token what callers have to show
     * @param views what can be seen at {@code /status/}, by name
     * @param handler takes the changes
     */
    public AdminServer(
            Vertx vertx,
            String token,
            Map<String, Supplier<JsonNode>> views,
            ConfigurationHandler handler) {
        this.vertx = vertx;
        this.token = new AccessToken(token);
        this.routes = new AdminRoutes(views, handler);
    }

    /** Starts to listen; the result is the port. */
    public Future<Integer> listen(String host, int port) {
        server =
                vertx.createHttpServer(
                        new HttpServerOptions()
                                .setHttp2ClearTextEnabled(false)
                                .setIdleTimeout(IDLE_TIMEOUT_SECONDS)
                                .setMaxHeaderSize(MAX_HEADER_BYTES));
        server.connectionHandler(this::admit);
        server.requestHandler(this::handle);
        return server.listen(port, host)
                .map(
                        listening -> {
                            LOG.info(
                                    "admin server is listening at "
                                            + host
                                            + ":"
                                            + listening.actualPort());
                            return listening.actualPort();
                        });
    }

    /** Closes the server and its connections. */
    public Future<Void> close() {
        return server == null ? Future.succeededFuture() : server.close();
    }

    private void admit(HttpConnection connection) {
        if (connections.size() >= MAX_CONNECTIONS) {
            connection.close();
            return;
        }
        connections.add(connection);
        connection.closeHandler(none -> connections.remove(connection));
    }

    private void handle(HttpServerRequest request) {
        if (!token.permits(request.getHeader("Authorization"))) {
            answerAndClose(request, AdminAnswer.unauthorized());
        } else if (HttpMethod.GET.equals(request.method())) {
            answer(request, routes.get(request.path()));
        } else {
            readBody(request);
        }
    }

    private void readBody(HttpServerRequest request) {
        Buffer body = Buffer.buffer();
        request.handler(
                bytes -> {
                    if (body.length() + bytes.length() > MAX_BODY_BYTES) {
                        request.handler(null);
                        answerAndClose(request, AdminAnswer.tooLarge(MAX_BODY_BYTES));
                    } else {
                        body.appendBuffer(bytes);
                    }
                });
        request.endHandler(
                none -> {
                    if (!request.response().ended()) {
                        answer(request, routes.post(request.path(), body.getBytes()));
                    }
                });
    }

    private static HttpServerResponse head(HttpServerRequest request, AdminAnswer answer) {
        return request.response()
                .setStatusCode(answer.status())
                .putHeader("Content-Type", "application/json");
    }

    private static void answer(HttpServerRequest request, AdminAnswer answer) {
        if (!request.response().ended()) {
            head(request, answer).end(answer.json());
        }
    }

    /** Answers without reading the rest of the request. */
    private static void answerAndClose(HttpServerRequest request, AdminAnswer answer) {
        head(request, answer)
                .putHeader("Connection", "close")
                .end(answer.json())
                .onComplete(written -> request.connection().close());
    }
}
