package sprucehold.node;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServerRequest;
import java.io.BufferedReader;
import java.io.File;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import org.testng.SkipException;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import sprucehold.TestLoop;
import sprucehold.coordinator.Attempt;
import sprucehold.coordinator.Observation;
import sprucehold.coordinator.Query;
import sprucehold.decision.AttemptOutcome;
import sprucehold.decision.ClusterView;
import sprucehold.decision.Command;
import sprucehold.decision.DecisionPolicy;
import sprucehold.decision.Endpoint;
import sprucehold.decision.Event;
import sprucehold.decision.SharedLimit;
import sprucehold.deployment.InvalidSettingsException;
import sprucehold.standin.StandIns;

/** A whole gatherer with scripted decisions, and how its file is read. */
public class GathererNodeTest {
    private static final String SETTINGS =
            "\"settings\":{\"classes\":[{\"name\":\"q\",\"semantics\":\"retryable\","
                    + "\"aimMs\":100,\"giveUpMs\":300}],\"familyInfo\":{\"ranges\":4,\"sets\":2},"
                    + "\"limits\":{\"dialTimeoutMs\":5000,\"idleCloseMs\":15000,\"streamsPerConn\":32}}";
    private static final String KNOWN =
            "\"known\":{\"index\":7,\"snapshot\":true,\"endpoints\":[{\"name\":\"a\","
                    + "\"address\":\"127.0.0.1:8100\",\"group\":0,\"status\":\"active\"}]}";
    private static final String PLACE =
            "\"name\":\"n\",\"listen\":\"127.0.0.1:0\",\"discovery\":\"127.0.0.1:1\","
                    + "\"seed\":\"ffffffffffffffff\"";

    private Path file;
    private Vertx vertx;

    /**
     * Held for as long as a test lasts: Vert.x closes a client that nobody holds once it is
     * collected, and its requests with it.
     */
    private HttpClient client;

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

    private NodeConfig config(String... members) throws IOException {
        Files.writeString(file, "{" + String.join(",", members) + "}");
        return NodeConfig.read(file, null, "", null);
    }

    @DataProvider
    Object[][] malformed() {
        return new Object[][] {
            {new String[] {PLACE}},
            {new String[] {SETTINGS}},
            {new String[] {PLACE, SETTINGS, "x"}},
            {new String[] {SETTINGS, PLACE.replace("127.0.0.1:0", "127.0.0.1")}},
            {new String[] {SETTINGS, PLACE.replace("127.0.0.1:1", ":1")}},
            {new String[] {SETTINGS, PLACE.replace("ffffffffffffffff", "seed")}},
            {new String[] {PLACE, SETTINGS.replace("retryable", "odd")}},
            {new String[] {PLACE, SETTINGS.replace("\"sets\"", "\"classFetch\":[2],\"sets\"")}},
            {new String[] {PLACE, SETTINGS, KNOWN.replace("\"name\"", "\"other\"")}},
        };
    }

    @Test(dataProvider = "malformed")
    public void fileThatCantBeUsedIsRefused(String[] members) {
        assertThrows(InvalidSettingsException.class, () -> config(members));
    }

    @Test
    public void environmentWinsOverTheFile() throws IOException {
        NodeConfig config = config(PLACE, SETTINGS, KNOWN);
        assertEquals(config.seed(), -1L);
        assertEquals(config.knownEndpoints().index(), 7);
        assertEquals(config.settings().shards(), 4);
        assertEquals(config.settings().longestDeadlineMs(), 300.0);
        assertEquals(
                NodeConfig.read(file, "m", "127.0.0.2:5", null).listen(),
                new NodeConfig.Address("127.0.0.2", 5));
        assertEquals(NodeConfig.read(file, "m", null, null).name(), "m");
        assertEquals(
                NodeConfig.read(file, null, null, "127.0.0.3:9").discovery(),
                new NodeConfig.Address("127.0.0.3", 9));
    }

    private <T> T await(Future<T> future) throws Exception {
        return future.toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
    }

    private int port;
    private TestLoop loop;

    private GathererNode node(DecisionPolicy.Factory factory, String... members) throws Exception {
        return await(begin(config(members), factory, List.of()).start);
    }

    private record Begun(GathererNode node, Future<GathererNode> start) {}

    /** Makes a node, and returns it with what is over once it listens. */
    private Begun begin(
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
    private NodeConfig asking(BlockingQueue<HttpServerRequest> calls, NodeConfig.Address listen)
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

    private void end(GathererNode node, DrainSchedule how) throws Exception {
        await(loop.call(() -> node.end(how)));
    }

    @Test
    public void scanIsAnsweredThroughTheWholeGatherer() throws Exception {
        var lines = new ArrayList<String>();
        // The scripted decisions send every part and answer when one is completed.
        DecisionPolicy.Factory factory =
                (seed, deployment) ->
                        (now, events) -> {
                            var actions = new ArrayList<Command>();
                            for (Event event : events) {
                                if (event instanceof Event.PartReceived part) {
                                    actions.add(new Command.SendAttempt(part.id(), "a", 5000));
                                } else if (event instanceof Event.AttemptEnded) {
                                    actions.add(new Command.AnswerQuery("rehearsal-0", true));
                                }
                            }
                            return actions;
                        };
        assertTrue(SmokeTest.run(config(PLACE, SETTINGS, KNOWN), factory, lines::add));
        assertEquals(
                lines,
                List.of(
                        "q: 200 {\"finished\":true,\"found\":[{\"bucket\":0,\"item\":\"0:c41e77d0\"}]}"));
    }

    /**
     * What discovery's agent has counts as told from a process's first moment, so a list of before
     * may already be forbidden.
     */
    @Test
    public void whatIsKnownFromBeforeIsCheckedBeforeAnythingIsTaken() throws Exception {
        var calls = new LinkedBlockingQueue<HttpServerRequest>();
        var lists = new LinkedBlockingQueue<Event.EndpointsUpdated>();
        DecisionPolicy.Factory factory =
                (seed, deployment) ->
                        (now, events) -> {
                            events.stream()
                                    .filter(Event.EndpointsUpdated.class::isInstance)
                                    .forEach(list -> lists.add((Event.EndpointsUpdated) list));
                            return List.of();
                        };
        int free;
        try (var socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            free = socket.getLocalPort();
        }
        Begun begun =
                begin(asking(calls, new NodeConfig.Address("127.0.0.1", free)), factory, List.of());
        HttpServerRequest call = calls.poll(10, TimeUnit.SECONDS);
        assertEquals(call.uri(), "/discovery/hosts");
        assertThrows(ConnectException.class, () -> new Socket("127.0.0.1", free).close());
        assertTrue(lists.isEmpty());
        call.response()
                .end(
                        "{\"index\":9,\"snapshot\":true,\"endpoints\":[{\"name\":\"a\",\"address\":\"127.0.0.1:8100\","
                                + "\"group\":0,\"status\":\"leaving\"}]}");
        assertTrue(await(begun.start).ready());
        Event.EndpointsUpdated list = lists.poll(10, TimeUnit.SECONDS);
        assertEquals(list.endpoints().get(0).state(), Endpoint.State.DRAINING);
        assertTrue(lists.isEmpty());
    }

    @Test
    public void gathererThatIsToldToEndBeforeItListensNeverListens() throws Exception {
        var calls = new LinkedBlockingQueue<HttpServerRequest>();
        Begun begun =
                begin(
                        asking(calls, new NodeConfig.Address("127.0.0.1", 0)),
                        (seed, deployment) -> (now, events) -> List.of(),
                        List.of());
        HttpServerRequest call = calls.poll(10, TimeUnit.SECONDS);
        // Nothing is owed to anybody, so it doesn't serve on.
        end(begun.node, new DrainSchedule(60_000, 60_000, 90_000));
        call.response().end("{\"index\":9,\"snapshot\":true,\"endpoints\":[]}");
        assertThrows(ExecutionException.class, () -> await(begun.start));
        assertFalse(begun.node.ready());
    }

    @Test
    public void whoIsToldToEndTwiceEndsOnceAndAsItWasToldFirst() throws Exception {
        GathererNode node =
                node((seed, deployment) -> (now, events) -> List.of(), PLACE, SETTINGS, KNOWN);
        assertTrue(
                loop.call(
                        () ->
                                node.end(DrainSchedule.IMMEDIATE)
                                        == node.end(new DrainSchedule(60_000, 60_000, 60_000))));
        end(node, DrainSchedule.IMMEDIATE);
    }

    /**
     * One that leaves so many dispatches their units, says that it withdraws them again, and tells
     * what it is asked.
     */
    private static final class Lender implements NodeExtension {
        final List<String> heard = new ArrayList<>();
        int units;
        boolean withdrawn;
        boolean panics;
        ClusterView next;

        @Override
        public String name() {
            return "lender";
        }

        @Override
        public Future<Void> start() {
            heard.add("start");
            return Future.succeededFuture();
        }

        @Override
        public void queryReceived(double nowMs, Query query) {
            heard.add("taken " + query.id());
        }

        @Override
        public void observed(double nowMs, Observation observation) {
            if (observation instanceof Observation.AttemptEnded ended) {
                heard.add("ended " + ended.result().getClass().getSimpleName());
            }
        }

        @Override
        public void attemptStarting(double nowMs, Attempt attempt) {
            heard.add("sent " + attempt.partId());
            if (panics) {
                throw new IllegalStateException("scripted");
            }
        }

        @Override
        public ClusterView clusterView(double nowMs) {
            ClusterView told = next;
            next = null;
            return told;
        }

        @Override
        public BooleanSupplier consumeAllowance(double nowMs, Command.ConsumeAllowance use) {
            units -= use.units();
            return units < 0 ? null : () -> !withdrawn;
        }

        @Override
        public JsonNode status() {
            return new ObjectMapper().createObjectNode();
        }

        @Override
        public Future<Void> end() {
            heard.add("end");
            return Future.succeededFuture();
        }
    }

    private static Socket ask(int port, String id) throws IOException {
        var socket = new Socket("127.0.0.1", port);
        socket.setSoTimeout(10_000);
        ask(socket, id);
        return socket;
    }

    private static void ask(Socket socket, String id) throws IOException {
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
    private static Socket connected(int port) throws IOException {
        var socket = new Socket("127.0.0.1", port);
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

    /**
     * Decisions that stand still at each scan until they are told to go on, and then for longer
     * than a turn may last.
     */
    private static final class Halting implements DecisionPolicy {
        final BlockingQueue<String> taken = new LinkedBlockingQueue<>();
        final Map<String, Double> timeLeftMs = new ConcurrentHashMap<>();
        final Semaphore goOn = new Semaphore(0);

        @Override
        public List<Command> decide(double nowMs, List<Event> events) {
            for (Event event : events) {
                if (event instanceof Event.QueryReceived scan) {
                    timeLeftMs.put(scan.id(), scan.timeLeftMs());
                    taken.add(scan.id());
                    goOn.acquireUninterruptibly();
                    long turnEnds =
                            System.nanoTime()
                                    + TimeUnit.MILLISECONDS.toNanos(
                                            (long) (2 * DecisionQueue.MAX_TURN_MS));
                    while (System.nanoTime() < turnEnds) {
                        Thread.onSpinWait();
                    }
                }
            }
            return List.of();
        }
    }

    @Test
    public void clientThatLeavesWhileOthersAreDecidedUponGetsNothingSentOn() throws Exception {
        var halting = new Halting();
        GathererNode node = node((seed, deployment) -> halting, PLACE, SETTINGS, KNOWN);
        Socket stays = connected(port);
        Socket leaves = connected(port);
        Socket first = ask(port, "first");
        assertEquals(halting.taken.poll(10, TimeUnit.SECONDS), "first");
        // Both are read in one pass over the sockets, and both wait to be decided upon.
        ask(stays, "stays");
        ask(leaves, "leaves");
        halting.goOn.release();
        assertEquals(halting.taken.poll(10, TimeUnit.SECONDS), "stays");
        leaves.close();
        halting.goOn.release(3);
        Socket last = ask(port, "last");
        assertEquals(halting.taken.poll(10, TimeUnit.SECONDS), "last");
        for (Socket socket : List.of(first, stays, last)) {
            socket.close();
        }
        end(node, DrainSchedule.IMMEDIATE);
    }

    @Test
    public void timeInWhichARequestLayUnreadIsNotGrantedToIt() throws Exception {
        var halting = new Halting();
        GathererNode node = node((seed, deployment) -> halting, PLACE, SETTINGS, KNOWN);
        Socket unread = connected(port);
        Socket first = ask(port, "first");
        assertEquals(halting.taken.poll(10, TimeUnit.SECONDS), "first");
        // It lies in the system's buffer for as long as the first is decided upon.
        ask(unread, "unread");
        long writtenAt = System.nanoTime();
        LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(50));
        double unreadMs = (System.nanoTime() - writtenAt) / 1e6;
        halting.goOn.release(2);
        assertEquals(halting.taken.poll(10, TimeUnit.SECONDS), "unread");
        double timeLeftMs = halting.timeLeftMs.get("unread");
        assertTrue(
                timeLeftMs <= 30_000 - unreadMs,
                timeLeftMs + " ms left after " + unreadMs + " ms unread");
        first.close();
        unread.close();
        end(node, DrainSchedule.IMMEDIATE);
    }

    @Test
    public void idleClientsThatFillTheDescriptorsLeaveRoomForTheListTheServersAndWhoAsks()
            throws Exception {
        var calls = new LinkedBlockingQueue<HttpServerRequest>();
        var lists = new LinkedBlockingQueue<Event.EndpointsUpdated>();
        DecisionPolicy.Factory factory =
                (seed, deployment) ->
                        (now, events) -> {
                            var actions = new ArrayList<Command>();
                            for (Event event : events) {
                                if (event instanceof Event.EndpointsUpdated list) {
                                    lists.add(list);
                                } else if (event instanceof Event.PartReceived part) {
                                    actions.add(new Command.SendAttempt(part.id(), "a", 5000));
                                } else if (event instanceof Event.AttemptEnded ended) {
                                    actions.add(
                                            new Command.AnswerQuery(
                                                    ended.partId().split("\\.")[0], true));
                                }
                            }
                            return actions;
                        };
        int discovery =
                await(vertx.createHttpServer().requestHandler(calls::add).listen(0, "127.0.0.1"))
                        .actualPort();
        int server = await(StandIns.shardServerAt(vertx, "127.0.0.1"));
        NodeConfig told = config(PLACE, SETTINGS, KNOWN.replace("8100", String.valueOf(server)));
        // Discovery is silent: the list is the one from before.
        GathererNode node =
                await(
                        begin(
                                        new NodeConfig(
                                                "n",
                                                told.listen(),
                                                new NodeConfig.Address("127.0.0.1", discovery),
                                                5,
                                                40,
                                                told.knownEndpoints(),
                                                told.settings()),
                                        factory,
                                        List.of())
                                .start);
        var idle = new ArrayList<Socket>();
        for (int i = 0; i < 200; i++) {
            idle.add(new Socket("127.0.0.1", port));
        }
        for (String id : List.of("s", "t")) {
            Socket asks = ask(port, id);
            assertEquals(
                    asks.getInputStream().readNBytes(12),
                    "HTTP/1.1 200".getBytes(StandardCharsets.US_ASCII));
            asks.close();
        }
        lists.clear();
        Event.EndpointsUpdated list = null;
        while (list == null) {
            // The earliest calls may have been given up by now; one that is open is answered.
            calls.poll(10, TimeUnit.SECONDS)
                    .response()
                    .end("{\"index\":9,\"snapshot\":true,\"endpoints\":[]}");
            list = lists.poll(1, TimeUnit.SECONDS);
        }
        assertTrue(list.complete());
        for (Socket socket : idle) {
            socket.close();
        }
        end(node, DrainSchedule.IMMEDIATE);
    }

    @DataProvider
    Object[][] lenders() {
        return new Object[][] {
            // units it has, whether it takes leave back before the write, how the dispatch that
            // takes one ends, what it hears
            {
                1,
                false,
                AttemptOutcome.COMPLETED,
                List.of("start", "taken s", "sent s.0", "ended Completed", "end")
            },
            {
                0,
                false,
                AttemptOutcome.NEVER_SENT,
                List.of("start", "taken s", "ended Cancelled", "end")
            },
            {
                1,
                true,
                AttemptOutcome.NEVER_SENT,
                List.of("start", "taken s", "sent s.0", "ended Cancelled", "end")
            },
        };
    }

    @Test(dataProvider = "lenders")
    public void whatADispatchTakesOfASharedBoundIsAskedForAndAgainBeforeItsWrite(
            int units, boolean withdrawn, AttemptOutcome outcome, List<String> heard)
            throws Exception {
        var lender = new Lender();
        lender.units = units;
        lender.withdrawn = withdrawn;
        lender.next = new ClusterView(3, Map.of(SharedLimit.RETRIES, units), Map.of());
        var endings = new CompletableFuture<AttemptOutcome>();
        var told = new CompletableFuture<ClusterView>();
        DecisionPolicy.Factory factory =
                (seed, deployment) ->
                        (now, events) -> {
                            var actions = new ArrayList<Command>();
                            for (Event event : events) {
                                if (event instanceof Event.ClusterViewChanged others) {
                                    told.complete(others.view());
                                } else if (event instanceof Event.PartReceived part) {
                                    actions.add(
                                            new Command.ConsumeAllowance(SharedLimit.RETRIES, 1));
                                    actions.add(new Command.SendAttempt(part.id(), "a", 5000));
                                } else if (event instanceof Event.AttemptEnded ended) {
                                    endings.complete(ended.outcome());
                                    actions.add(new Command.AnswerQuery("s", true));
                                }
                            }
                            return actions;
                        };
        NodeConfig config = config(PLACE, SETTINGS, KNOWN);
        int discovery =
                await(
                        StandIns.start(
                                vertx, "127.0.0.1", 0, config.knownEndpoints().servers(), true));
        GathererNode node =
                await(
                        begin(
                                        new NodeConfig(
                                                "n",
                                                config.listen(),
                                                new NodeConfig.Address("127.0.0.1", discovery),
                                                5,
                                                config.maxDescriptors(),
                                                null,
                                                config.settings()),
                                        factory,
                                        List.of((on, at, clock) -> lender))
                                .start);
        loop.until(node::ready);
        HttpClient client = vertx.createHttpClient();
        await(
                client.request(HttpMethod.POST, port, "127.0.0.1", "/q")
                        .compose(
                                request ->
                                        request.putHeader("X-Request-Id", "s")
                                                .putHeader("X-Class", "q")
                                                .putHeader("X-Deadline-Ms", "3000")
                                                .send(
                                                        "{\"buckets\":[{\"bucket\":0,\"part\":1.0}],\"body\":\"c4\"}"))
                        .compose(response -> response.body()));
        assertEquals(endings.get(10, TimeUnit.SECONDS), outcome);
        assertEquals(
                told.get(10, TimeUnit.SECONDS),
                new ClusterView(3, Map.of(SharedLimit.RETRIES, units), Map.of()));
        end(node, DrainSchedule.IMMEDIATE);
        assertEquals(lender.heard, heard);
    }

    @Test
    public void orderThatFailsLosesNoAnswer() throws Exception {
        var lender = new Lender();
        lender.panics = true;
        DecisionPolicy.Factory factory =
                (seed, deployment) ->
                        (now, events) -> {
                            boolean second =
                                    events.stream()
                                            .anyMatch(
                                                    event ->
                                                            event instanceof Event.PartReceived part
                                                                    && part.id().equals("t.0"));
                            return second
                                    ? List.of(
                                            new Command.SendAttempt("t.0", "a", 5000),
                                            new Command.RejectQuery("s", 0))
                                    : List.of();
                        };
        GathererNode node =
                await(
                        begin(
                                        config(PLACE, SETTINGS, KNOWN),
                                        factory,
                                        List.of((on, at, clock) -> lender))
                                .start);
        Socket owed = ask(port, "s");
        loop.until(() -> lender.heard.contains("taken s"));
        Socket other = ask(port, "t");
        assertEquals(
                owed.getInputStream().readNBytes(12),
                "HTTP/1.1 503".getBytes(StandardCharsets.US_ASCII));
        assertTrue(lender.heard.contains("sent t.0"));
        owed.close();
        other.close();
        end(node, DrainSchedule.IMMEDIATE);
    }

    @Test
    public void warmUpRunsScansThroughTheDecisionsAndLeavesNothing() throws Exception {
        var answered = new AtomicInteger();
        DecisionPolicy.Factory factory =
                (seed, deployment) ->
                        (now, events) -> {
                            var actions = new ArrayList<Command>();
                            for (Event event : events) {
                                if (event instanceof Event.PartReceived part) {
                                    actions.add(new Command.SendAttempt(part.id(), "a0", 5000));
                                } else if (event instanceof Event.AttemptEnded ended
                                        && ended.outcome() == AttemptOutcome.COMPLETED) {
                                    answered.incrementAndGet();
                                    actions.add(
                                            new Command.AnswerQuery(
                                                    ended.partId().replaceAll("[.].*", ""), true));
                                }
                            }
                            return actions;
                        };
        Set<String> before = files();
        WarmUp.run(config(PLACE, SETTINGS), factory);
        assertTrue(answered.get() > 100, String.valueOf(answered));
        Set<String> left = files();
        left.removeAll(before);
        assertEquals(left, Set.of());
    }

    @Test
    public void withoutSocketsScansAreRunThroughDecisionsAndCodecs() throws Exception {
        var parts = new AtomicInteger();
        DecisionPolicy.Factory factory =
                (seed, deployment) ->
                        (now, events) -> {
                            var actions = new ArrayList<Command>();
                            for (Event event : events) {
                                if (event instanceof Event.PartReceived part) {
                                    parts.incrementAndGet();
                                    actions.add(new Command.SendAttempt(part.id(), "a0", 5000));
                                } else if (event instanceof Event.AttemptEnded ended
                                        && ended.outcome() == AttemptOutcome.COMPLETED) {
                                    actions.add(
                                            new Command.AnswerQuery(
                                                    ended.partId().replaceAll("[.].*", ""), true));
                                }
                            }
                            return actions;
                        };
        int answered = StubWarmUp.run(config(PLACE, SETTINGS), factory);
        assertEquals(answered, 3);
        assertTrue(parts.get() >= 3 * 4, String.valueOf(parts));
    }

    private static Set<String> files() {
        return new HashSet<>(
                List.of(
                        new File(System.getProperty("java.io.tmpdir"))
                                .list((directory, name) -> name.startsWith("warm-up"))));
    }

    @Test
    public void requestsOnTheHeelsOfAnAnswerAreWokenFor() throws Exception {
        // The first scan is answered at once, the second only when the decisions are woken.
        DecisionPolicy.Factory factory =
                (seed, deployment) ->
                        (now, events) -> {
                            for (Event event : events) {
                                if (event instanceof Event.QueryReceived scan) {
                                    return List.of(
                                            scan.id().equals("a")
                                                    ? new Command.RejectQuery("a", 0)
                                                    : new Command.ScheduleWakeUp(20));
                                }
                            }
                            return events.contains(new Event.WakeUp())
                                    ? List.of(new Command.RejectQuery("b", 500))
                                    : List.of();
                        };
        node(factory, PLACE, SETTINGS, KNOWN);
        String body = "{\"buckets\":[{\"bucket\":0,\"part\":1}],\"body\":\"\"}";
        String request =
                "POST /q HTTP/1.1\r\nHost: h\r\nX-Request-Id: %s\r\nX-Class: q\r\nX-Deadline-Ms: 9000\r\n"
                        + "Content-Length: "
                        + body.length()
                        + "\r\n\r\n"
                        + body;
        try (var socket = new Socket("127.0.0.1", port)) {
            socket.setSoTimeout(5000);
            socket.getOutputStream()
                    .write((request.formatted("a") + request.formatted("b")).getBytes());
            var in = new BufferedReader(new InputStreamReader(socket.getInputStream()));
            String line;
            do {
                line = in.readLine();
            } while (!line.startsWith("Retry-After"));
            assertEquals(line, "Retry-After: 0.5");
        }
    }

    /**
     * Of what comes while the loop is held up, nothing may look late because something else was
     * read first.
     */
    @Test
    public void answersThatAreThereTogetherAreDecidedUponTogether() throws Exception {
        var endings = new LinkedBlockingQueue<Integer>();
        DecisionPolicy.Factory factory =
                (seed, deployment) ->
                        (now, events) -> {
                            var actions = new ArrayList<Command>();
                            for (Event event : events) {
                                if (event instanceof Event.PartReceived part) {
                                    actions.add(
                                            new Command.SendAttempt(
                                                    part.id(),
                                                    part.id().endsWith("0") ? "a" : "b",
                                                    5000));
                                }
                            }
                            int ended =
                                    (int)
                                            events.stream()
                                                    .filter(Event.AttemptEnded.class::isInstance)
                                                    .count();
                            if (ended > 0) {
                                endings.add(ended);
                            }
                            return actions;
                        };
        try (var a = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
                var b = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            a.setSoTimeout(10_000);
            b.setSoTimeout(10_000);
            String entry =
                    "{\"name\":\"%s\",\"address\":\"127.0.0.1:%d\",\"group\":0,\"status\":\"active\"}";
            node(
                    factory,
                    PLACE,
                    SETTINGS,
                    "\"known\":{\"index\":7,\"snapshot\":true,\"endpoints\":["
                            + entry.formatted("a", a.getLocalPort())
                            + ","
                            + entry.formatted("b", b.getLocalPort())
                            + "]}");
            ask(
                    "s",
                    "{\"buckets\":[{\"bucket\":0,\"part\":0.5},{\"bucket\":1,\"part\":0.5}],\"body\":\"\"}");
            try (Socket first = a.accept();
                    Socket second = b.accept()) {
                first.getInputStream().read();
                second.getInputStream().read();
                Runnable free = loop.hold(() -> {});
                first.getOutputStream()
                        .write(
                                Buffer.buffer()
                                        .appendIntLE(14)
                                        .appendString("Es.0 hit 5 -\nv")
                                        .getBytes());
                second.getOutputStream()
                        .write(
                                Buffer.buffer()
                                        .appendIntLE(14)
                                        .appendString("Es.1 hit 5 -\nv")
                                        .getBytes());
                free.run();
                assertEquals((int) endings.poll(5, TimeUnit.SECONDS), 2);
            }
        }
    }

    /**
     * What a query waits for its decision is no longer left to its client, and no shard server may
     * be told that it is.
     */
    @Test
    public void timeInTheQueueOfDecisionsIsTakenFromTheClientsTime() throws Exception {
        var left = new LinkedBlockingQueue<Double>();
        DecisionPolicy.Factory factory =
                (seed, deployment) ->
                        (now, events) -> {
                            var actions = new ArrayList<Command>();
                            for (Event event : events) {
                                if (event instanceof Event.QueryReceived scan) {
                                    left.add(scan.timeLeftMs());
                                    actions.add(new Command.RejectQuery(scan.id(), 0));
                                    // The first decision takes this long, and the second query
                                    // waits for it.
                                    long end = System.nanoTime() + 60_000_000;
                                    while (System.nanoTime() < end) {
                                        Thread.onSpinWait();
                                    }
                                }
                            }
                            return actions;
                        };
        node(factory, PLACE, SETTINGS, KNOWN);
        String body = "{\"buckets\":[{\"bucket\":0,\"part\":1}],\"body\":\"\"}";
        try (var one = new Socket("127.0.0.1", port);
                var other = new Socket("127.0.0.1", port)) {
            // Both connections are up, so that what comes on them in the hold is read in one pass.
            for (Socket socket : List.of(one, other)) {
                socket.setSoTimeout(10_000);
                socket.getOutputStream().write("GET /up HTTP/1.1\r\nHost: h\r\n\r\n".getBytes());
                assertEquals(socket.getInputStream().read(), 'H');
            }
            Runnable free = loop.hold(() -> {});
            for (Socket socket : List.of(one, other)) {
                socket.getOutputStream()
                        .write(
                                ("POST /q HTTP/1.1\r\nHost: h\r\nX-Request-Id: "
                                                + socket.getLocalPort()
                                                + "\r\nX-Class: q\r\nX-Deadline-Ms: 9000\r\nContent-Length: "
                                                + body.length()
                                                + "\r\n\r\n"
                                                + body)
                                        .getBytes());
            }
            free.run();
            double first = left.poll(10, TimeUnit.SECONDS);
            double second = left.poll(10, TimeUnit.SECONDS);
            assertTrue(second <= first - 55, first + " and then " + second);
        }
    }

    @Test
    public void hangUpIsTakenOverEachTime() throws Exception {
        String ignored =
                Files.readAllLines(Path.of("/proc/self/status")).stream()
                        .filter(line -> line.startsWith("SigIgn:"))
                        .findAny()
                        .orElseThrow()
                        .replaceAll(".*\\s", "");
        if ((Long.parseUnsignedLong(ignored, 16) & 1) != 0) {
            throw new SkipException(
                    "started with SIGHUP ignored, as under nohup, which the JVM keeps");
        }
        var hungUp = new Semaphore(0);
        Signals.onHangUp(hungUp::release);
        for (int i = 0; i < 2; i++) {
            new ProcessBuilder("kill", "-HUP", String.valueOf(ProcessHandle.current().pid()))
                    .start()
                    .waitFor();
            assertTrue(hungUp.tryAcquire(10, TimeUnit.SECONDS));
        }
    }

    private Future<Integer> ask(String id) {
        return ask(id, "{\"buckets\":[{\"bucket\":0,\"part\":1}],\"body\":\"\"}");
    }

    private Future<Integer> ask(String id, String body) {
        return client.request(HttpMethod.POST, port, "127.0.0.1", "/q")
                .compose(
                        request ->
                                request.putHeader("X-Request-Id", id)
                                        .putHeader("X-Class", "q")
                                        .putHeader("X-Deadline-Ms", "9000")
                                        .send(Buffer.buffer(body)))
                .map(response -> response.statusCode());
    }

    @Test
    public void gathererThatEndsAnswersWhatItHasTakenAndTurnsAwayWhoComesTooLate()
            throws Exception {
        var taken = new CompletableFuture<Void>();
        var late = new CompletableFuture<Integer>();
        var between = new CompletableFuture<Double>();
        // The first scan is held until the late one has its answer; the late one isn't asked about.
        DecisionPolicy.Factory factory =
                (seed, deployment) ->
                        (now, events) -> {
                            for (Event event : events) {
                                if (event instanceof Event.QueryReceived scan
                                        && scan.id().equals("between")) {
                                    between.complete(scan.timeLeftMs());
                                    return List.of(
                                            new Command.RejectQuery("between", 0),
                                            new Command.ScheduleWakeUp(10));
                                } else if (event instanceof Event.QueryReceived scan) {
                                    assertEquals(scan.id(), "s");
                                    taken.complete(null);
                                }
                            }
                            return !taken.isDone()
                                    ? List.of()
                                    : List.of(
                                            late.isDone()
                                                    ? new Command.FailQuery("s")
                                                    : new Command.ScheduleWakeUp(10));
                        };
        GathererNode node = node(factory, PLACE, SETTINGS, KNOWN);
        assertTrue(node.ready());
        Future<Integer> status = ask("s");
        taken.get(10, TimeUnit.SECONDS);
        var lingered = new CompletableFuture<Void>();
        var ended = new CompletableFuture<Void>();
        vertx.runOnContext(
                none -> {
                    node.end(new DrainSchedule(2000, 2200, 9000))
                            .onComplete(ended::complete, ended::completeExceptionally);
                    vertx.setTimer(2300, timer -> lingered.complete(null));
                });
        // Who is told to leave serves on for a while, but promises no answer for when it may have
        // been killed.
        assertEquals((int) await(ask("between")), 503);
        assertTrue(between.get() <= 8800, String.valueOf(between));
        lingered.get(10, TimeUnit.SECONDS);
        assertFalse(node.ready());
        late.complete(await(ask("late")));
        ended.get(10, TimeUnit.SECONDS);
        assertEquals((int) late.get(), 503);
        assertEquals((int) await(status), 502);
    }
}
