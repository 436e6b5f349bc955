package sprucehold.node;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpMethod;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import sprucehold.admin.AdminConfig;
import sprucehold.policy.QueryScheduler;
import sprucehold.standin.StandIns;

/**
 * Tests of configuration changes through the admin server, on a gatherer with stubs and under load.
 */
public class ConfigurationChangesTest {
    private static final String TOKEN = "a token of some letters";
    private static final java.net.http.HttpClient HTTP_CLIENT =
            java.net.http.HttpClient.newBuilder()
                    .version(java.net.http.HttpClient.Version.HTTP_1_1)
                    .build();
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final String CONFIG =
            """
            {"name":"n","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"5","known":{"index":1,"snapshot":true,
            "endpoints":[{"name":"s-0","address":"127.0.0.1:1","group":0,"status":"active"},
            {"name":"s-1","address":"127.0.0.1:2","group":0,"status":"active"}]},
            "settings":{"balancers":1,"quantumMs":5,"classes":[{"name":"offers","semantics":"retryable","aimMs":1000,
            "giveUpMs":3000,"worth":1}],"tenants":[{"name":"acme","allowancePerS":1000}],
            "familyInfo":{"ranges":4,"sets":1,"width":1},"limits":{"dialTimeoutMs":2000,"idleCloseMs":15000,
            "streamsPerConn":64,"maxOpen":500,"sendCap":3,"cancel":true,"secondCopies":true},
            "safety":{"coldFrom":0.2,"coldMs":15000,"fallMultiple":4,"overloadForMs":1000}}}""";

    private Vertx vertx;
    private Path folder;
    private GathererNode node;
    private int port;
    private long loadTimer;
    private final AtomicInteger sent = new AtomicInteger();
    private final AtomicInteger answered = new AtomicInteger();

    @BeforeMethod
    public void start() throws Exception {
        vertx = Service.vertx();
        folder = Files.createTempDirectory("changes");
        sent.set(0);
        answered.set(0);
        node = serve();
    }

    private GathererNode serve() throws Exception {
        NodeConfig config =
                NodeConfig.read(
                        Files.writeString(folder.resolve("config.json"), CONFIG), null, null, null);
        var started = new CompletableFuture<GathererNode>();
        vertx.runOnContext(
                none ->
                        StandIns.start(
                                        vertx,
                                        "127.0.0.1",
                                        0,
                                        config.knownEndpoints().servers(),
                                        true)
                                .compose(
                                        discovery -> {
                                            var nodeConfig =
                                                    new NodeConfig(
                                                            "n",
                                                            config.listen(),
                                                            new NodeConfig.Address(
                                                                    "127.0.0.1", discovery),
                                                            5,
                                                            config.maxDescriptors(),
                                                            null,
                                                            config.settings());
                                            try {
                                                var serving =
                                                        new GathererNode(
                                                                vertx,
                                                                nodeConfig,
                                                                QueryScheduler::new,
                                                                new AdminConfig(
                                                                        "127.0.0.1",
                                                                        0,
                                                                        TOKEN,
                                                                        folder.resolve("journal"),
                                                                        1500,
                                                                        50),
                                                                List.of());
                                                return serving.start()
                                                        .map(
                                                                listening -> {
                                                                    port = listening;
                                                                    return serving;
                                                                });
                                            } catch (IOException | StartFailedException e) {
                                                throw new IllegalStateException(e);
                                            }
                                        })
                                .onComplete(started::complete, started::completeExceptionally));
        GathererNode serving = started.get(10, TimeUnit.SECONDS);
        while (!serving.ready()) {
            Thread.onSpinWait();
        }
        return serving;
    }

    @AfterMethod
    public void stop() throws Exception {
        stopLoad();
        var ended = new CompletableFuture<Void>();
        vertx.runOnContext(
                none ->
                        node.end(DrainSchedule.IMMEDIATE)
                                .onComplete(ended::complete, ended::completeExceptionally));
        ended.get(10, TimeUnit.SECONDS);
        vertx.close().toCompletionStage().toCompletableFuture().get(5, TimeUnit.SECONDS);
    }

    private void startLoad() {
        HttpClient client = vertx.createHttpClient();
        loadTimer =
                vertx.setPeriodic(
                        5,
                        id -> {
                            int number = sent.incrementAndGet();
                            String body =
                                    "{\"buckets\":[{\"bucket\":"
                                            + number % 4
                                            + ",\"part\":1.0}],\"body\":\"c4\"}";
                            client.request(HttpMethod.POST, port, "127.0.0.1", "/offers")
                                    .compose(
                                            request ->
                                                    request.putHeader(
                                                                    "X-Request-Id", "id-" + number)
                                                            .putHeader("X-Class", "offers")
                                                            .putHeader("X-Tenant", "acme")
                                                            .putHeader("X-Deadline-Ms", "2500")
                                                            .send(Buffer.buffer(body)))
                                    .compose(response -> response.body())
                                    .onSuccess(bytes -> answered.incrementAndGet());
                        });
    }

    /**
     * Stops the load and waits for the last answer. A request that is sent while the gatherer
     * closes the connection would have no answer.
     */
    private void stopLoad() throws Exception {
        var cancelled = new CompletableFuture<Boolean>();
        vertx.runOnContext(none -> cancelled.complete(vertx.cancelTimer(loadTimer)));
        cancelled.get(5, TimeUnit.SECONDS);
        long until = System.nanoTime() + 5_000_000_000L;
        while (answered.get() < sent.get() && System.nanoTime() < until) {
            Thread.onSpinWait();
        }
        assertEquals(answered.get(), sent.get(), "each query has one answer");
    }

    private HttpResponse<String> call(String method, String path, String token, String body)
            throws Exception {
        return HTTP_CLIENT.send(
                HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + node.adminPort() + path))
                        .header("Authorization", "Bearer " + token)
                        .method(method, HttpRequest.BodyPublishers.ofString(body))
                        .build(),
                HttpResponse.BodyHandlers.ofString());
    }

    private JsonNode get(String path) throws Exception {
        return MAPPER.readTree(call("GET", path, TOKEN, "").body());
    }

    private ObjectNode document() throws Exception {
        return (ObjectNode) get("/change/document");
    }

    private HttpResponse<String> propose(String id, long from, JsonNode document) throws Exception {
        return call(
                "POST",
                "/change/propose",
                TOKEN,
                MAPPER.createObjectNode()
                        .put("id", id)
                        .put("by", "operator")
                        .put("madeFrom", from)
                        .set("document", document)
                        .toString());
    }

    private JsonNode await(String field, long value) throws Exception {
        long until = System.nanoTime() + 20_000_000_000L;
        while (true) {
            JsonNode status = get("/change/status");
            if (status.path(field).asLong() == value && !status.get("watched").asBoolean()) {
                return status;
            }
            assertTrue(System.nanoTime() < until, status.toString());
            Thread.onSpinWait();
        }
    }

    @Test
    public void harmfulChangeUnderLoadIsRolledBackWithinFiveSeconds() throws Exception {
        startLoad();
        while (answered.get() < 400) {
            Thread.onSpinWait();
        }
        ObjectNode document = document();
        // No answer can be completed within 0.001 ms: all of them count as late from now on.
        ((ObjectNode) document.get("tableTypes").get(0)).put("targetMs", 0.001);
        HttpResponse<String> accepted = propose("p1", 1, document);
        assertEquals(accepted.statusCode(), 202, accepted.body());
        long acceptedNanos = System.nanoTime();
        await("live", 3);
        assertTrue(
                System.nanoTime() - acceptedNanos < 5_000_000_000L,
                (System.nanoTime() - acceptedNanos) / 1_000_000 + " ms");
        JsonNode history = get("/change/history");
        assertEquals(history.get(1).get("state").asText(), "undone");
        assertTrue(
                history.get(1).get("why").asText().startsWith("service fell"), history.toString());
        assertEquals(document().get("tableTypes").get(0).get("targetMs").asDouble(), 1000.0);
    }

    @Test
    public void harmlessChangeIsConfirmedAndSurvivesRestart() throws Exception {
        startLoad();
        while (answered.get() < 400) {
            Thread.onSpinWait();
        }
        ObjectNode document = document();
        ((ObjectNode) document.get("limits")).put("maxOpen", 450);
        ((ArrayNode) document.get("serversOut")).add("s-1");
        assertEquals(propose("p1", 1, document).statusCode(), 202);
        await("confirmed", 2);
        assertEquals(propose("p1", 1, document).statusCode(), 200, "the same proposal again");
        stopLoad();
        var ended = new CompletableFuture<Void>();
        vertx.runOnContext(
                none ->
                        node.end(DrainSchedule.IMMEDIATE)
                                .onComplete(ended::complete, ended::completeExceptionally));
        ended.get(10, TimeUnit.SECONDS);
        node = serve();
        assertEquals(document().get("limits").get("maxOpen").asInt(), 450);
        assertEquals(get("/change/status").get("live").asInt(), 2);
    }

    @DataProvider
    Object[][] invalidRequests() {
        return new Object[][] {
            // method, path, token, body, status
            {"GET", "/change/status", "wrong", "", 401},
            {"POST", "/change/propose", "", "{}", 401},
            {"GET", "/else", TOKEN, "", 404},
            {"POST", "/change/propose", TOKEN, "nothing", 400},
            {"POST", "/change/propose", TOKEN, "{}", 400},
            {"POST", "/change/confirm", TOKEN, "{\"version\":7}", 400},
            {"POST", "/change/undo", TOKEN, "{\"version\":1,\"by\":\"o\"}", 409},
            {"POST", "/change/check", TOKEN, "{\"document\":{\"limits\":{}}}", 422},
            {"POST", "/change/propose", TOKEN, "[".repeat(5000), 400},
            {"POST", "/change/propose", TOKEN, "x".repeat(2 << 20), 413},
        };
    }

    @Test(dataProvider = "invalidRequests")
    public void invalidRequestIsRejectedAndChangesNothing(
            String method, String path, String token, String body, int status) throws Exception {
        try {
            HttpResponse<String> response = call(method, path, token, body);
            assertEquals(response.statusCode(), status, response.body());
            assertTrue(MAPPER.readTree(response.body()).isObject(), response.body());
        } catch (IOException e) {
            // The connection was closed while the rest of the request was still being sent.
            assertTrue(status == 413 || status == 401, e.toString());
        }
        assertEquals(get("/change/status").get("live").asInt(), 1);
    }

    @Test
    public void manyAdminConnectionsDoNotBlockAdminServerOrClients() throws Exception {
        var sockets = new ArrayList<Socket>();
        for (int i = 0; i < 60; i++) {
            sockets.add(new Socket(InetAddress.getLoopbackAddress(), node.adminPort()));
        }
        startLoad();
        while (answered.get() < 50) {
            Thread.onSpinWait();
        }
        for (Socket socket : sockets) {
            socket.close();
        }
        assertEquals(get("/change/status").get("live").asInt(), 1);
    }

    @Test
    public void proposalBasedOnOutdatedVersionIsRejectedWithInterveningChanges() throws Exception {
        ObjectNode one = document();
        ObjectNode two = document();
        ((ObjectNode) one.get("limits")).put("maxOpen", 450);
        ((ObjectNode) two.get("limits")).put("maxOpen", 400);
        assertEquals(propose("p1", 1, one).statusCode(), 202);
        HttpResponse<String> second = propose("p2", 1, two);
        assertEquals(second.statusCode(), 409);
        assertTrue(
                MAPPER.readTree(second.body())
                        .get("meanwhile")
                        .toString()
                        .contains("from 500 to 450"),
                second.body());
    }
}
