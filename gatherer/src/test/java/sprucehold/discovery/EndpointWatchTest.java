package sprucehold.discovery;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServerRequest;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import sprucehold.coordinator.EndpointUpdate;
import sprucehold.coordinator.Observation;

/** The watch against a scripted discovery on loopback. */
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
        watch = watch(port, false);
    }

    private EndpointWatch watch(int at, boolean asked) {
        return new EndpointWatch(
                vertx,
                "127.0.0.1",
                at,
                2,
                asked,
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

    private HttpServerRequest call(String uri) throws InterruptedException {
        HttpServerRequest request = calls.poll(5, TimeUnit.SECONDS);
        assertEquals(request.uri(), uri);
        return request;
    }

    private Observation report() throws InterruptedException {
        return reports.poll(5, TimeUnit.SECONDS);
    }

    /** Begins, and returns the call that waits for what is newer than version 41. */
    private HttpServerRequest following(int waitMs) throws InterruptedException {
        watch.start();
        call("/discovery/hosts").response().end(list(41, true, endpoint("")));
        assertTrue(report() instanceof Observation.EndpointsUpdated);
        return call("/discovery/hosts?after=41&wait_ms=" + waitMs);
    }

    @Test
    public void whatIsKnownFromBeforeIsCheckedByTheWholeListBeforeAnythingElse() throws Exception {
        Future<Void> first = watch.start();
        HttpServerRequest request = call("/discovery/hosts");
        assertFalse(first.isComplete());
        request.response().end(list(41, true, endpoint("")));
        first.toCompletionStage().toCompletableFuture().get(5, TimeUnit.SECONDS);
        assertTrue(report() instanceof Observation.EndpointsUpdated);
    }

    @Test
    public void firstCallThatFailsIsOverAsWell() throws Exception {
        Future<Void> first = watch.start();
        call("/discovery/hosts").connection().close();
        first.toCompletionStage().toCompletableFuture().get(5, TimeUnit.SECONDS);
        assertTrue(report() instanceof Observation.EndpointsUnavailable);
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
    Object[][] odd() {
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

    @Test(dataProvider = "odd")
    public void oddEntryGetsNothingAndHidesNoOther(String field) throws Exception {
        String body = list(1, true, endpoint("," + field), endpoint(",\"name\":\"t\""));
        List<EndpointUpdate> servers =
                EndpointListReader.decode(body.getBytes(StandardCharsets.UTF_8), 2).servers();
        assertEquals(servers.get(0).state(), EndpointUpdate.State.GONE);
        assertEquals(servers.get(0).replicaGroup() < 2, true);
        assertEquals(servers.get(1).state(), EndpointUpdate.State.RUNNING);
    }

    @Test(dataProvider = "malformed")
    public void listThatCantBeUsedIsRefusedWhole(String body) {
        assertThrows(
                EndpointListReader.MalformedException.class,
                () -> EndpointListReader.decode(body.getBytes(StandardCharsets.UTF_8), 2));
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
    public void entriesAreReadAsTheyStand(String status, EndpointUpdate.State state)
            throws Exception {
        String entry =
                endpoint(
                        ",\"zone\":\"z\",\"since_ms\":1700000000123,\"status\":\""
                                + status
                                + "\",\"new\":[]");
        EndpointList news =
                EndpointListReader.decode(
                        list(41, false, entry).getBytes(StandardCharsets.UTF_8), 2);
        assertEquals(news.index(), 41);
        assertFalse(news.complete());
        assertEquals(
                news.servers().get(0),
                new EndpointUpdate("s", "127.0.0.1:1", 1, "z", 1700000000123.0, state));
    }

    @Test
    public void newsComesAndTheNextCallAsksForWhatIsNewer() throws Exception {
        watch.start();
        call("/discovery/hosts").response().end(list(41, true, endpoint("")));
        assertTrue(((Observation.EndpointsUpdated) report()).complete());
        call("/discovery/hosts?after=41&wait_ms=2000")
                .response()
                .end(list(43, false, endpoint("")));
        assertFalse(((Observation.EndpointsUpdated) report()).complete());
        // Nothing new: nothing told, and asked again.
        call("/discovery/hosts?after=43&wait_ms=2000").response().end(list(43, false));
        call("/discovery/hosts?after=43&wait_ms=2000");
        assertTrue(reports.isEmpty());
    }

    @Test
    public void listIsFollowedAtItsNewAddressAtOnceAndTheOldOneIsNotHeard() throws Exception {
        var moved = new LinkedBlockingQueue<HttpServerRequest>();
        int port =
                vertx.createHttpServer()
                        .requestHandler(moved::add)
                        .listen(0, "127.0.0.1")
                        .toCompletionStage()
                        .toCompletableFuture()
                        .get(5, TimeUnit.SECONDS)
                        .actualPort();
        HttpServerRequest old = following(2000);
        vertx.runOnContext(none -> watch.moveTo("127.0.0.1", port));
        // The whole list, since the versions of the two need not go together.
        HttpServerRequest first = moved.poll(5, TimeUnit.SECONDS);
        assertEquals(first.uri(), "/discovery/hosts");
        old.response().end(list(42, false, endpoint("")));
        first.response().end(list(7, true, endpoint(",\"name\":\"new\"")));
        assertEquals(((Observation.EndpointsUpdated) report()).updates().get(0).name(), "new");
        assertEquals(
                moved.poll(5, TimeUnit.SECONDS).uri(), "/discovery/hosts?after=7&wait_ms=2000");
        assertTrue(reports.isEmpty());
    }

    @DataProvider
    Object[][] failures() {
        return new Object[][] {{"status"}, {"malformed"}, {"closed"}, {"back"}};
    }

    @Test
    public void callWithoutAnAnswerIsGivenUpOnceAnotherBesideItIsAnswered() throws Exception {
        HttpServerRequest silent = following(2000);
        var closed = new CompletableFuture<Void>();
        silent.connection().closeHandler(none -> closed.complete(null));
        HttpServerRequest beside = call("/discovery/hosts?after=41&wait_ms=2000");
        assertTrue(report() instanceof Observation.EndpointsUnavailable);
        assertFalse(closed.isDone());
        beside.response().end(list(44, false, endpoint(",\"status\":\"leaving\"")));
        assertEquals(
                ((Observation.EndpointsUpdated) report()).updates().get(0).state(),
                EndpointUpdate.State.DRAINING);
        call("/discovery/hosts?after=44&wait_ms=2000");
        closed.get(5, TimeUnit.SECONDS);
        assertTrue(reports.isEmpty());
    }

    @Test
    public void callWithoutAnAnswerInTimeIsStillHeard() throws Exception {
        HttpServerRequest late = following(2000);
        call("/discovery/hosts?after=41&wait_ms=2000");
        assertTrue(report() instanceof Observation.EndpointsUnavailable);
        late.response().end(list(42, false, endpoint("")));
        assertTrue(report() instanceof Observation.EndpointsUpdated);
    }

    @Test
    public void firstCallWithoutAnAnswerHoldsUpNoStart() throws Exception {
        Future<Void> first = watch.start();
        call("/discovery/hosts");
        first.toCompletionStage().toCompletableFuture().get(5, TimeUnit.SECONDS);
        // It stays open: what discovery tells at its return counts at once.
        call("/discovery/hosts").response().end(list(41, true, endpoint("")));
        assertTrue(report() instanceof Observation.EndpointsUnavailable);
        assertTrue(report() instanceof Observation.EndpointsUpdated);
    }

    /**
     * Whole as it reads, but without a length: whether more would have come nobody knows. A reset
     * is no end.
     */
    @Test
    public void listWithoutLengthThatIsResetIsNoList() throws Exception {
        try (var cutting = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
            watch.stop();
            watch = watch(cutting.getLocalPort(), true);
            Future<Void> first = watch.start();
            try (Socket socket = cutting.accept()) {
                socket.getInputStream().read();
                socket.getOutputStream()
                        .write(
                                ("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n"
                                                + list(41, true, endpoint("")))
                                        .getBytes(StandardCharsets.UTF_8));
                socket.setSoLinger(true, 0);
            }
            first.toCompletionStage().toCompletableFuture().get(5, TimeUnit.SECONDS);
            assertTrue(report() instanceof Observation.EndpointsUnavailable);
        }
    }

    @Test
    public void callThatIsCutOffIsMadeAgainInTimeForItsWatchToGoOn() throws Exception {
        HttpServerRequest cut = following(2000);
        cut.connection().close();
        // By itself: nobody asks for it here, and what it falls back to is a minute away.
        call("/discovery/hosts?after=41&wait_ms=2000");
        assertTrue(report() instanceof Observation.EndpointsUnavailable);
    }

    @Test(dataProvider = "failures")
    public void failedCallIsToldAndRepeatedWhenAsked(String how) throws Exception {
        watch.stop();
        watch = watch(port, true);
        HttpServerRequest request = following(20_000);
        switch (how) {
            case "status" -> request.response().setStatusCode(500).end();
            case "malformed" -> request.response().end("{}");
            case "closed" -> request.connection().close();
            default -> request.response().end(list(40, true, endpoint("")));
        }
        assertTrue(report() instanceof Observation.EndpointsUnavailable);
        assertTrue(calls.isEmpty());
        vertx.runOnContext(none -> watch.poll());
        // A list whose index went back is asked for anew, whole.
        request =
                call(
                        how.equals("back")
                                ? "/discovery/hosts"
                                : "/discovery/hosts?after=41&wait_ms=1");
        request.response().end(list(40 + (how.equals("back") ? 0 : 2), true, endpoint("")));
        assertTrue(report() instanceof Observation.EndpointsUpdated);
    }
}
