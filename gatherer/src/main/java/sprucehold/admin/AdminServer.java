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
 * HTTP server for operators ({@code --door}). Each response, and each request other than a GET
 * request, has one JSON value as its body. The server limits connections and request sizes and
 * rejects requests without the token; {@link AdminRoutes} handles the others.
 */
public final class AdminServer {
    private static final Logger LOG = Logger.getLogger(AdminServer.class.getName());

    /** Few operators connect; the limit keeps file descriptors free for clients during a flood. */
    private static final int MAX_CONNECTIONS = 16;

    /** Space for the fields of a proposal other than its document, in bytes. */
    private static final int MAX_ENVELOPE_BYTES = 4096;

    private static final int MAX_BODY_BYTES = DocumentReader.MAX_BYTES + MAX_ENVELOPE_BYTES;
    private static final int MAX_HEADER_BYTES = 8192;

    /** Time after which a connection without traffic is closed, in seconds. */
    private static final int IDLE_TIMEOUT_SECONDS = 10;

    private final Vertx vertx;
    private final AccessToken token;
    private final AdminRoutes routes;
    private final Set<HttpConnection> connections = new HashSet<>();
    private HttpServer server;

    /**
     * @param vertx Vert.x instance that runs the server
     * @param token token that requests must contain
     * @param views suppliers of the status shown at {@code /status/NAME}, by name
     * @param handler carries out configuration changes
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

    /** Starts listening; the future returns the port. */
    public Future<Integer> listen(String host, int port) {
        server =
                vertx.createHttpServer(
                        new HttpServerOptions()
                                .setHttp2ClearTextEnabled(false)
                                .setIdleTimeout(IDLE_TIMEOUT_SECONDS)
                                .setMaxHeaderSize(MAX_HEADER_BYTES));
        server.connectionHandler(this::connectionAccepted);
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

    private void connectionAccepted(HttpConnection connection) {
        if (connections.size() >= MAX_CONNECTIONS) {
            connection.close();
            return;
        }
        connections.add(connection);
        connection.closeHandler(none -> connections.remove(connection));
    }

    private void handle(HttpServerRequest request) {
        if (!token.permits(request.getHeader("Authorization"))) {
            sendAndClose(request, AdminResponse.unauthorized());
        } else if (HttpMethod.GET.equals(request.method())) {
            send(request, routes.get(request.path()));
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
                        sendAndClose(request, AdminResponse.tooLarge(MAX_BODY_BYTES));
                    } else {
                        body.appendBuffer(bytes);
                    }
                });
        request.endHandler(
                none -> {
                    if (!request.response().ended()) {
                        send(request, routes.post(request.path(), body.getBytes()));
                    }
                });
    }

    private static HttpServerResponse withHeaders(
            HttpServerRequest request, AdminResponse response) {
        return request.response()
                .setStatusCode(response.status())
                .putHeader("Content-Type", "application/json");
    }

    private static void send(HttpServerRequest request, AdminResponse response) {
        if (!request.response().ended()) {
            withHeaders(request, response).end(response.json());
        }
    }

    /** Sends the response and closes the connection without reading the rest of the request. */
    private static void sendAndClose(HttpServerRequest request, AdminResponse response) {
        withHeaders(request, response)
                .putHeader("Connection", "close")
                .end(response.json())
                .onComplete(written -> request.connection().close());
    }
}
