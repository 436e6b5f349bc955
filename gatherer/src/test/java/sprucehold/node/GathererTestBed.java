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

/** A gatherer on an event loop of its own with scripted decisions, and clients of it. */
abstract class GathererTestBed {
    static final String SETTINGS =
            "\"settings\":{\"classes\":[{\"name\":\"q\",\"semantics\":\"retryable\","
                    + "\"aimMs\":100,\"giveUpMs\":300}],\"familyInfo\":{\"ranges\":4,\"sets\":2},"
                    + "\"limits\":{\"dialTimeoutMs\":5000,\"idleCloseMs\":15000,\"streamsPerConn\":32}}";

    static final String KNOWN =
            "\"known\":{\"index\":7,\"snapshot\":true,\"endpoints\":[{\"name\":\"a\","
                    + "\"address\":\"127.0.0.1:8100\",\"group\":0,\"status\":\"active\"}]}";

    static final String PLACE =
            "\"name\":\"n\",\"listen\":\"127.0.0.1:0\",\"discovery\":\"127.0.0.1:1\","
                    + "\"seed\":\"ffffffffffffffff\"";

    Path file;

    Vertx vertx;

    /**
     * Held for as long as a test lasts: Vert.x closes a client that nobody holds once it is
     * collected, and its requests with it.
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

    GathererNode node(DecisionPolicy.Factory factory, String... members) throws Exception {
        return await(begin(config(members), factory, List.of()).start());
    }

    record Begun(GathererNode node, Future<GathererNode> start) {}

    /** Makes a node, and returns it with what is over once it listens. */
    Begun begin(
            NodeConfig config, DecisionPolicy.Factory factory, List<NodeExtension.Factory> beside)
            throws Exception {
        loop = new TestLoop(vertx);
        return loop.call(
                () -> {
                    var node = new GathererNode(vertx, config, factory, null, beside);
                    return new Begun(
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
     * The configuration of one that knows a list, and asks a discovery that hands its calls over.
     */
    NodeConfig asking(BlockingQueue<HttpServerRequest> calls, NodeConfig.Address listen)
            throws Exception {
        int discovery =
                await(vertx.createHttpServer().requestHandler(calls::add).listen(0, "127.0.0.1"))
                        .actualPort();
        NodeConfig told = config(PLACE, SETTINGS, KNOWN);
        return new NodeConfig(
                "n",
                listen,
                new NodeConfig.Address("127.0.0.1", discovery),
                5,
                told.maxDescriptors(),
                told.knownEndpoints(),
                told.settings());
    }

    void end(GathererNode node, DrainSchedule how) throws Exception {
        await(loop.call(() -> node.end(how)));
    }

    static Socket ask(int port, String id) throws IOException {
        var socket = new Socket(InetAddress.getLoopbackAddress(), port);
        socket.setSoTimeout(10_000);
        ask(socket, id);
        return socket;
    }

    static void ask(Socket socket, String id) throws IOException {
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
     * A connection that the gatherer has accepted and answered on, so that what is written to it
     * next needs only to be read.
     */
    static Socket connected(int port) throws IOException {
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

    Future<Integer> ask(String id) {
        return ask(id, "{\"buckets\":[{\"bucket\":0,\"part\":1}],\"body\":\"\"}");
    }

    Future<Integer> ask(String id, String body) {
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
