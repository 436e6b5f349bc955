package sprucehold.node;

import static org.testng.Assert.assertTrue;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServerRequest;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import sprucehold.TestLoop;
import sprucehold.decision.DecisionPolicy;

/**
 * Fixture of tests that run a gatherer on an event loop of a separate Vert.x instance, with a
 * scripted decision policy. It contains the clients of the gatherer, too.
 */
abstract class GathererTestBed {
    static final String SETTINGS =
            "\"settings\":{\"classes\":[{\"name\":\"q\",\"semantics\":\"retryable\","
                    + "\"aimMs\":100,\"giveUpMs\":300}],\"familyInfo\":{\"ranges\":4,\"sets\":2},"
                    + "\"limits\":{\"dialTimeoutMs\":5000,\"idleCloseMs\":15000,\"streamsPerConn\":32}}";

    static final String KNOWN_ENDPOINTS =
            "\"known\":{\"index\":7,\"snapshot\":true,\"endpoints\":[{\"name\":\"a\","
                    + "\"address\":\"127.0.0.1:8100\",\"group\":0,\"status\":\"active\"}]}";

    static final String NODE_FIELDS =
            "\"name\":\"n\",\"listen\":\"127.0.0.1:0\",\"discovery\":\"127.0.0.1:1\","
                    + "\"seed\":\"ffffffffffffffff\"";

    Path file;

    Vertx vertx;

    /**
     * Referenced for the duration of a test: Vert.x closes an unreferenced client, together with
     * its requests, once the client is garbage-collected.
     */
    HttpClient client;

    int port;

    TestLoop loop;

    @BeforeMethod
    public void open() throws IOException {
        file = Files.createTempFile("config", ".json");
        vertx = Vertx.vertx();
        client = vertx.createHttpClient();
    }

    @AfterMethod
    public void close() throws Exception {
        Files.delete(file);
        vertx.close().toCompletionStage().toCompletableFuture().get(5, TimeUnit.SECONDS);
    }

    NodeConfig config(String... members) throws IOException {
        Files.writeString(file, "{" + String.join(",", members) + "}");
        return NodeConfig.read(file, null, "", null);
    }

    <T> T await(Future<T> future) throws Exception {
        return future.toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
    }

    GathererNode startNode(DecisionPolicy.Factory factory, String... members) throws Exception {
        return await(startAsync(config(members), factory, List.of()).start());
    }

    record StartingNode(GathererNode node, Future<GathererNode> start) {}

    /**
     * Creates a node and starts it; returns the node with the future of its start, which completes
     * once the node listens.
     */
    StartingNode startAsync(
            NodeConfig config,
            DecisionPolicy.Factory factory,
            List<NodeExtension.Factory> extensions)
            throws Exception {
        loop = new TestLoop(vertx);
        return loop.call(
                () -> {
                    var node = new GathererNode(vertx, config, factory, null, extensions);
                    return new StartingNode(
                            node,
                            node.start()
                                    .map(
                                            listening -> {
                                                port = listening;
                                                return node;
                                            }));
                });
    }

    /**
     * Returns the configuration of a gatherer that has an endpoint list, and whose discovery is a
     * server that adds its requests to {@code calls}.
     */
    NodeConfig configWithDiscovery(
            BlockingQueue<HttpServerRequest> calls, NodeConfig.Address listen) throws Exception {
        int discovery =
                await(vertx.createHttpServer().requestHandler(calls::add).listen(0, "127.0.0.1"))
                        .actualPort();
        NodeConfig base = config(NODE_FIELDS, SETTINGS, KNOWN_ENDPOINTS);
        return new NodeConfig(
                "n",
                listen,
                new NodeConfig.Address("127.0.0.1", discovery),
                5,
                base.maxDescriptors(),
                base.knownEndpoints(),
                base.settings());
    }

    void end(GathererNode node, DrainSchedule schedule) throws Exception {
        await(loop.call(() -> node.end(schedule)));
    }

    static Socket sendQuery(int port, String id) throws IOException {
        var socket = new Socket(InetAddress.getLoopbackAddress(), port);
        socket.setSoTimeout(10_000);
        sendQuery(socket, id);
        return socket;
    }

    static void sendQuery(Socket socket, String id) throws IOException {
        String body = "{\"buckets\":[{\"bucket\":0,\"part\":1.0}],\"body\":\"c4\"}";
        socket.getOutputStream()
                .write(
                        ("POST /q HTTP/1.1\r\nHost: s\r\nX-Request-Id: "
                                        + id
                                        + "\r\nX-Class: q\r\nX-Deadline-Ms: 30000\r\n"
                                        + "Content-Length: "
                                        + body.length()
                                        + "\r\n\r\n"
                                        + body)
                                .getBytes(StandardCharsets.UTF_8));
    }

    /**
     * Returns a connection on which the gatherer has answered a request, so that the gatherer has
     * accepted the connection and only needs to read the next request.
     */
    static Socket openConnection(int port) throws IOException {
        var socket = new Socket(InetAddress.getLoopbackAddress(), port);
        socket.setSoTimeout(10_000);
        socket.getOutputStream()
                .write("GET /up HTTP/1.1\r\nHost: s\r\n\r\n".getBytes(StandardCharsets.UTF_8));
        var answer = new StringBuilder();
        while (!answer.toString().endsWith("\r\n\r\nup\n")) {
            int read = socket.getInputStream().read();
            assertTrue(read >= 0, answer.toString());
            answer.append((char) read);
        }
        return socket;
    }

    Future<Integer> sendQuery(String id) {
        return sendQuery(id, "{\"buckets\":[{\"bucket\":0,\"part\":1}],\"body\":\"\"}");
    }

    Future<Integer> sendQuery(String id, String body) {
        return client.request(HttpMethod.POST, port, "127.0.0.1", "/q")
                .compose(
                        request ->
                                request.putHeader("X-Request-Id", id)
                                        .putHeader("X-Class", "q")
                                        .putHeader("X-Deadline-Ms", "9000")
                                        .send(Buffer.buffer(body)))
                .map(response -> response.statusCode());
    }
}
