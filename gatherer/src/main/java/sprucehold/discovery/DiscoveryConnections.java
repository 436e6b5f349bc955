package sprucehold.discovery;

import io.vertx.core.Future;
import io.vertx.core.MultiMap;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientAgent;
import io.vertx.core.http.HttpClientConnection;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpConnectOptions;
import io.vertx.core.http.HttpHeaders;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpVersion;
import io.vertx.core.http.RequestOptions;
import java.util.HashMap;
import java.util.Map;
import java.util.logging.Level;
import java.util.logging.Logger;
import java.util.stream.Stream;

/**
 * Connections to discovery at one address. Each open call has a connection of its own. At most one
 * connection rests: that of the latest response, until the next call is made, which either uses or
 * closes it. So no call is ever made on a connection that fell silent long ago.
 */
final class DiscoveryConnections {
    private static final Logger LOG = Logger.getLogger(DiscoveryConnections.class.getName());
    private static final String PATH = "/discovery/hosts";
    private static final int OK = 200;

    /** Call that is open, with its connection, which is null until it is established. */
    private static final class OpenCall {
        private final Promise<Buffer> response = Promise.promise();
        private HttpClientConnection connection;
        private boolean connectionReusable;
    }

    /** Thrown by a call that discovery answered with another status than 200. */
    private static final class UnexpectedStatusException extends Exception {
        private static final long serialVersionUID = 1L;

        UnexpectedStatusException(int status) {
            super("HTTP status " + status, null, false, false);
        }
    }

    private final String host;
    private final int port;
    private final HttpClientAgent client;
    private final Map<Long, OpenCall> openCalls = new HashMap<>();

    /** Connection of the latest response while no call uses it, else null. */
    private HttpClientConnection resting;

    private boolean closed;

    /**
     * @param vertx Vert.x instance; all methods must be called on its event loop
     * @param host host of discovery
     * @param port port of discovery
     */
    DiscoveryConnections(Vertx vertx, String host, int port) {
        this.host = host;
        this.port = port;
        this.client = vertx.httpClientBuilder().build();
    }

    /** Whether the connections lead to this address. */
    boolean isTo(String otherHost, int otherPort) {
        return host.equals(otherHost) && port == otherPort;
    }

    /**
     * Makes a call. The future receives the body of the response, or the reason for which the call
     * failed; it isn't completed if the call is dropped.
     */
    Future<Buffer> call(EndpointWatchStateMachine.Call call) {
        var open = new OpenCall();
        openCalls.put(call.number(), open);
        HttpClientConnection reused = takeResting(call.newConnection());
        if (reused == null) {
            connect(call)
                    .onComplete(
                            connected -> use(call, open, connected.result(), connected.cause()));
        } else {
            use(call, open, reused, null);
        }
        return open.response.future();
    }

    /** Ends the rest of the connection that rests; returns null if there is none to use. */
    private HttpClientConnection takeResting(boolean newConnection) {
        HttpClientConnection taken = resting;
        resting = null;
        if (newConnection && taken != null) {
            taken.close();
            return null;
        }
        return taken;
    }

    private Future<HttpClientConnection> connect(EndpointWatchStateMachine.Call call) {
        return client.connect(
                new HttpConnectOptions()
                        .setHost(host)
                        .setPort(port)
                        .setConnectTimeout(call.connectTimeoutMs()));
    }

    private void use(
            EndpointWatchStateMachine.Call call,
            OpenCall open,
            HttpClientConnection connection,
            Throwable failure) {
        if (connection == null) {
            ended(call, open, null, failure);
            return;
        }
        if (openCalls.get(call.number()) != open) {
            connection.close();
            return;
        }
        open.connection = connection;
        connection.exceptionHandler(
                exception -> LOG.log(Level.FINE, "connection to discovery failed", exception));
        connection.closeHandler(none -> connectionClosed(connection));
        connection
                .request(request(call))
                .compose(request -> request.send())
                .compose(response -> body(open, response))
                .onComplete(called -> ended(call, open, called.result(), called.cause()));
    }

    private void connectionClosed(HttpClientConnection connection) {
        if (resting == connection) {
            resting = null;
        }
    }

    private RequestOptions request(EndpointWatchStateMachine.Call call) {
        String uri =
                call.after() < 0
                        ? PATH
                        : PATH + "?after=" + call.after() + "&wait_ms=" + call.waitMs();
        return new RequestOptions()
                .setMethod(HttpMethod.GET)
                .setHost(host)
                .setPort(port)
                .setURI(uri)
                .setIdleTimeout(call.timeoutMs());
    }

    private static Future<Buffer> body(OpenCall open, HttpClientResponse response) {
        open.connectionReusable = keepsConnection(response);
        return response.statusCode() == OK
                ? response.body()
                : Future.failedFuture(new UnexpectedStatusException(response.statusCode()));
    }

    /**
     * Whether the connection remains open after the response. The body of a response without a
     * length and not in chunks ends with the connection.
     */
    private static boolean keepsConnection(HttpClientResponse response) {
        MultiMap headers = response.headers();
        boolean closeAnnounced =
                headers.getAll(HttpHeaders.CONNECTION).stream()
                        .flatMap(value -> Stream.of(value.split(",")))
                        .anyMatch(option -> option.strip().equalsIgnoreCase("close"));
        return response.version() == HttpVersion.HTTP_1_1
                && !closeAnnounced
                && (headers.contains(HttpHeaders.CONTENT_LENGTH)
                        || headers.contains(HttpHeaders.TRANSFER_ENCODING));
    }

    private void ended(
            EndpointWatchStateMachine.Call call, OpenCall open, Buffer body, Throwable failure) {
        if (!openCalls.remove(call.number(), open)) {
            return;
        }
        if (failure == null) {
            rest(open);
            open.response.complete(body);
        } else {
            closeConnection(open);
            open.response.fail(failure);
        }
    }

    private void rest(OpenCall answered) {
        if (resting != null) {
            resting.close();
        }
        resting = answered.connectionReusable ? answered.connection : null;
        if (resting == null) {
            closeConnection(answered);
        }
    }

    /** Discards a call and closes its connection. */
    void drop(long number) {
        OpenCall open = openCalls.remove(number);
        if (open != null) {
            closeConnection(open);
        }
    }

    private static void closeConnection(OpenCall open) {
        if (open.connection != null) {
            open.connection.close();
        }
    }

    /** Discards all calls and closes all connections. */
    void close() {
        if (closed) {
            return;
        }
        closed = true;
        openCalls.values().forEach(DiscoveryConnections::closeConnection);
        openCalls.clear();
        takeResting(true);
        client.close();
    }
}
