package sprucehold.discovery;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServerRequest;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import sprucehold.coordinator.EndpointUpdate;
import sprucehold.coordinator.Observation;

/** Tests {@link EndpointWatch} with a scripted discovery server on loopback. */
public class EndpointWatchTest {
    private Vertx vertx;
    private EndpointWatch watch;
    private int port;
    private BlockingQueue<Observation> reports;
    private BlockingQueue<HttpServerRequest> calls;

    @BeforeMethod
    public void start() throws Exception {
        reports = new LinkedBlockingQueue<>();
        calls = new LinkedBlockingQueue<>();
        vertx = Vertx.vertx();
        port =
                vertx.createHttpServer()
                        .requestHandler(calls::add)
                        .listen(0, "127.0.0.1")
                        .toCompletionStage()
                        .toCompletableFuture()
                        .get(5, TimeUnit.SECONDS)
                        .actualPort();
        watch = newWatch(port, false);
    }

    private EndpointWatch newWatch(int discoveryPort, boolean polled) {
        return new EndpointWatch(
                vertx,
                "127.0.0.1",
                discoveryPort,
                2,
                polled,
                60_000,
                () -> System.nanoTime() / 1e6,
                reports::add);
    }

    @AfterMethod
    public void stop() throws Exception {
        watch.stop();
        vertx.close().toCompletionStage().toCompletableFuture().get(5, TimeUnit.SECONDS);
    }

    private static String endpoint(String fields) {
        return "{\"name\":\"s\",\"address\":\"127.0.0.1:1\",\"group\":1,\"status\":\"active\""
                + fields
                + "}";
    }

    private static String list(long index, boolean complete, String... endpoints) {
        return "{\"index\":"
                + index
                + ",\"snapshot\":"
                + complete
                + ",\"endpoints\":["
                + String.join(",", endpoints)
                + "]}";
    }

    private HttpServerRequest nextCall(String uri) throws InterruptedException {
        HttpServerRequest request = calls.poll(5, TimeUnit.SECONDS);
        assertEquals(request.uri(), uri);
        return request;
    }

    private Observation nextReport() throws InterruptedException {
        return reports.poll(5, TimeUnit.SECONDS);
    }

    /** Starts the watch with list version 41, and returns its call for later versions. */
    private HttpServerRequest startAtVersion41(int waitMs) throws InterruptedException {
        watch.start();
        nextCall("/discovery/hosts").response().end(list(41, true, endpoint("")));
        assertTrue(nextReport() instanceof Observation.EndpointsUpdated);
        return nextCall("/discovery/hosts?after=41&wait_ms=" + waitMs);
    }

    @Test
    public void startRequestsTheCompleteListAndEndsWithItsResponse() throws Exception {
        Future<Void> first = watch.start();
        HttpServerRequest request = nextCall("/discovery/hosts");
        assertFalse(first.isComplete());
        request.response().end(list(41, true, endpoint("")));
        first.toCompletionStage().toCompletableFuture().get(5, TimeUnit.SECONDS);
        assertTrue(nextReport() instanceof Observation.EndpointsUpdated);
    }

    @Test
    public void startEndsWhenTheFirstCallFails() throws Exception {
        Future<Void> first = watch.start();
        nextCall("/discovery/hosts").connection().close();
        first.toCompletionStage().toCompletableFuture().get(5, TimeUnit.SECONDS);
        assertTrue(nextReport() instanceof Observation.EndpointsUnavailable);
    }

    @DataProvider
    Object[][] malformed() {
        return new Object[][] {
            {""},
            {"[]"},
            {"{}"},
            {"{\"index\":1,\"snapshot\":true}"},
            {list(1, true, "3")},
            {"{\"index\":\"1\",\"snapshot\":true,\"endpoints\":[]}"},
            {"{\"index\":1.5,\"snapshot\":true,\"endpoints\":[]}"},
            {list(1, true, "{\"address\":\"127.0.0.1:1\",\"group\":0,\"status\":\"active\"}")},
        };
    }

    @DataProvider
    Object[][] invalidFields() {
        return new Object[][] {
            {"\"status\":\"odd\""},
            {"\"status\":3"},
            {"\"group\":2"},
            {"\"group\":-1"},
            {"\"group\":null"},
            {"\"address\":\"localhost:1\""},
            {"\"address\":\"127.0.0.1\""},
            {"\"address\":\"127.0.0.1:70000\""},
        };
    }

    @Test(dataProvider = "invalidFields")
    public void invalidEntryIsReadAsGoneAndOtherEntriesAreKept(String field) throws Exception {
        String body = list(1, true, endpoint("," + field), endpoint(",\"name\":\"t\""));
        List<EndpointUpdate> servers = EndpointListReader.decode(body.getBytes(UTF_8), 2).servers();
        assertEquals(servers.get(0).state(), EndpointUpdate.State.GONE);
        assertEquals(servers.get(0).replicaGroup() < 2, true);
        assertEquals(servers.get(1).state(), EndpointUpdate.State.RUNNING);
    }

    @Test(dataProvider = "malformed")
    public void malformedListIsRejected(String body) {
        assertThrows(
                EndpointListReader.MalformedException.class,
                () -> EndpointListReader.decode(body.getBytes(UTF_8), 2));
    }

    @DataProvider
    Object[][] states() {
        return new Object[][] {
            {"active", EndpointUpdate.State.RUNNING},
            {"leaving", EndpointUpdate.State.DRAINING},
            {"left", EndpointUpdate.State.GONE}
        };
    }

    @Test(dataProvider = "states")
    public void entryFieldsAndStatusAreDecoded(String status, EndpointUpdate.State state)
            throws Exception {
        String entry =
                endpoint(
                        ",\"zone\":\"z\",\"since_ms\":1700000000123,\"status\":\""
                                + status
                                + "\",\"new\":[]");
        EndpointList list = EndpointListReader.decode(list(41, false, entry).getBytes(UTF_8), 2);
        assertEquals(list.index(), 41);
        assertFalse(list.complete());
        assertEquals(
                list.servers().get(0),
                new EndpointUpdate("s", "127.0.0.1:1", 1, "z", 1700000000123.0, state));
    }

    @Test
    public void changeIsReportedAndTheNextCallRequestsLaterVersions() throws Exception {
        watch.start();
        nextCall("/discovery/hosts").response().end(list(41, true, endpoint("")));
        assertTrue(((Observation.EndpointsUpdated) nextReport()).complete());
        nextCall("/discovery/hosts?after=41&wait_ms=2000")
                .response()
                .end(list(43, false, endpoint("")));
        assertFalse(((Observation.EndpointsUpdated) nextReport()).complete());
        // A response without a change isn't reported, and another call is made.
        nextCall("/discovery/hosts?after=43&wait_ms=2000").response().end(list(43, false));
        nextCall("/discovery/hosts?after=43&wait_ms=2000");
        assertTrue(reports.isEmpty());
    }

    @Test
    public void addressChangeRequestsTheListAtTheNewAddressAndIgnoresTheOldOne() throws Exception {
        var callsAtNewAddress = new LinkedBlockingQueue<HttpServerRequest>();
        int port =
                vertx.createHttpServer()
                        .requestHandler(callsAtNewAddress::add)
                        .listen(0, "127.0.0.1")
                        .toCompletionStage()
                        .toCompletableFuture()
                        .get(5, TimeUnit.SECONDS)
                        .actualPort();
        HttpServerRequest old = startAtVersion41(2000);
        vertx.runOnContext(none -> watch.changeAddress("127.0.0.1", port));
        // The complete list, since the list versions of the two addresses are unrelated.
        HttpServerRequest first = callsAtNewAddress.poll(5, TimeUnit.SECONDS);
        assertEquals(first.uri(), "/discovery/hosts");
        old.response().end(list(42, false, endpoint("")));
        first.response().end(list(7, true, endpoint(",\"name\":\"new\"")));
        assertEquals(((Observation.EndpointsUpdated) nextReport()).updates().get(0).name(), "new");
        assertEquals(
                callsAtNewAddress.poll(5, TimeUnit.SECONDS).uri(),
                "/discovery/hosts?after=7&wait_ms=2000");
        assertTrue(reports.isEmpty());
    }

    @DataProvider
    Object[][] polledOrPushed() {
        return new Object[][] {{true}, {false}};
    }

    /**
     * A connection that rests may fall silent unnoticed, and a later call on it would get no
     * response.
     */
    @Test(dataProvider = "polledOrPushed")
    public void noConnectionRestsBesideTheOneInUse(boolean polled) throws Exception {
        watch.stop();
        watch = newWatch(port, polled);
        HttpServerRequest call = startAtVersion41(polled ? 20_000 : 2000);
        Set<HttpConnection> open = ConcurrentHashMap.newKeySet();
        var closed = new Semaphore(0);
        for (int version = 42; version < 48; version++) {
            HttpConnection connection = call.connection();
            if (open.add(connection)) {
                connection.closeHandler(
                        none -> {
                            open.remove(connection);
                            closed.release();
                        });
            }
            call.response().end(list(version, false, endpoint("")));
            call = calls.poll(5, TimeUnit.SECONDS);
        }
        while (open.size() > (open.contains(call.connection()) ? 1 : 0)) {
            assertTrue(closed.tryAcquire(5, TimeUnit.SECONDS), open.size() + " connections open");
        }
    }

    @DataProvider
    Object[][] failures() {
        return new Object[][] {{"status"}, {"malformed"}, {"closed"}, {"index decreased"}};
    }

    @Test
    public void overdueCallIsClosedOnceTheParallelCallIsAnswered() throws Exception {
        HttpServerRequest silent = startAtVersion41(2000);
        var closed = new CompletableFuture<Void>();
        silent.connection().closeHandler(none -> closed.complete(null));
        HttpServerRequest parallel = nextCall("/discovery/hosts?after=41&wait_ms=2000");
        assertTrue(nextReport() instanceof Observation.EndpointsUnavailable);
        assertFalse(closed.isDone());
        parallel.response().end(list(44, false, endpoint(",\"status\":\"leaving\"")));
        assertEquals(
                ((Observation.EndpointsUpdated) nextReport()).updates().get(0).state(),
                EndpointUpdate.State.DRAINING);
        nextCall("/discovery/hosts?after=44&wait_ms=2000");
        closed.get(5, TimeUnit.SECONDS);
        assertTrue(reports.isEmpty());
    }

    @Test
    public void lateResponseToAnOverdueCallIsReported() throws Exception {
        HttpServerRequest late = startAtVersion41(2000);
        nextCall("/discovery/hosts?after=41&wait_ms=2000");
        assertTrue(nextReport() instanceof Observation.EndpointsUnavailable);
        late.response().end(list(42, false, endpoint("")));
        assertTrue(nextReport() instanceof Observation.EndpointsUpdated);
    }

    @Test
    public void startEndsWhenTheFirstCallIsOverdue() throws Exception {
        Future<Void> first = watch.start();
        nextCall("/discovery/hosts");
        first.toCompletionStage().toCompletableFuture().get(5, TimeUnit.SECONDS);
        // A call stays open, since the gatherer counts as notified of the list as soon as discovery
        // can answer again.
        nextCall("/discovery/hosts").response().end(list(41, true, endpoint("")));
        assertTrue(nextReport() instanceof Observation.EndpointsUnavailable);
        assertTrue(nextReport() instanceof Observation.EndpointsUpdated);
    }

    /**
     * The body is valid JSON, but the response has no length and its connection is reset. The
     * gatherer can't know whether the body is complete, so the call must fail.
     */
    @Test
    public void responseWithoutLengthEndedByResetIsAFailedCall() throws Exception {
        try (var resettingServer = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
            watch.stop();
            watch = newWatch(resettingServer.getLocalPort(), true);
            Future<Void> first = watch.start();
            try (Socket socket = resettingServer.accept()) {
                socket.getInputStream().read();
                socket.getOutputStream()
                        .write(
                                ("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n"
                                                + list(41, true, endpoint("")))
                                        .getBytes(UTF_8));
                socket.setSoLinger(true, 0);
            }
            first.toCompletionStage().toCompletableFuture().get(5, TimeUnit.SECONDS);
            assertTrue(nextReport() instanceof Observation.EndpointsUnavailable);
        }
    }

    @DataProvider
    Object[][] headsOfLastResponses() {
        return new Object[][] {
            {""},
            {"Connection: close\r\nContent-Length: %d\r\n"},
            {"Connection: keep-alive, Close\r\nContent-Length: %d\r\n"},
        };
    }

    /** Guards against a call on a connection that ends with the response before. */
    @Test(dataProvider = "headsOfLastResponses")
    public void callAfterTheLastResponseOfAConnectionIsMadeOnANewOne(String head) throws Exception {
        int responses = 4;
        try (var closingServer = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
            watch.stop();
            watch = newWatch(closingServer.getLocalPort(), false);
            watch.start();
            for (int version = 41; version < 41 + responses; version++) {
                try (Socket socket = closingServer.accept()) {
                    readHead(socket);
                    String body = list(version, version == 41, endpoint(""));
                    socket.getOutputStream()
                            .write(
                                    ("HTTP/1.1 200 OK\r\n"
                                                    + String.format(head, body.length())
                                                    + "\r\n"
                                                    + body)
                                            .getBytes(UTF_8));
                }
            }
            for (int i = 0; i < responses; i++) {
                assertTrue(nextReport() instanceof Observation.EndpointsUpdated);
            }
        }
    }

    private static void readHead(Socket socket) throws IOException {
        var reader = new BufferedReader(new InputStreamReader(socket.getInputStream(), UTF_8));
        while (!reader.readLine().isEmpty()) {
            // The request is known.
        }
    }

    @Test
    public void closedCallOfAPushedListIsRepeatedWithoutPoll() throws Exception {
        HttpServerRequest waiting = startAtVersion41(2000);
        waiting.connection().close();
        // The state machine repeats the call by itself: poll isn't called, and the retry delay of a
        // polled list is one minute.
        nextCall("/discovery/hosts?after=41&wait_ms=2000");
        assertTrue(nextReport() instanceof Observation.EndpointsUnavailable);
    }

    @Test(dataProvider = "failures")
    public void failedCallOfAPolledListIsReportedAndRepeatedByPoll(String failure)
            throws Exception {
        watch.stop();
        watch = newWatch(port, true);
        HttpServerRequest request = startAtVersion41(20_000);
        switch (failure) {
            case "status" -> request.response().setStatusCode(500).end();
            case "malformed" -> request.response().end("{}");
            case "closed" -> request.connection().close();
            default -> request.response().end(list(40, true, endpoint("")));
        }
        assertTrue(nextReport() instanceof Observation.EndpointsUnavailable);
        assertTrue(calls.isEmpty());
        vertx.runOnContext(none -> watch.poll());
        // A list whose index decreased is requested again completely.
        request =
                nextCall(
                        failure.equals("index decreased")
                                ? "/discovery/hosts"
                                : "/discovery/hosts?after=41&wait_ms=1");
        request.response()
                .end(list(40 + (failure.equals("index decreased") ? 0 : 2), true, endpoint("")));
        assertTrue(nextReport() instanceof Observation.EndpointsUpdated);
    }
}
