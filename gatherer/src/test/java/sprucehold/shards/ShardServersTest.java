package sprucehold.shards;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import io.vertx.core.Handler;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetSocket;
import java.io.DataInputStream;
import java.io.IOException;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BiConsumer;
import java.util.stream.Stream;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import sprucehold.TestLoop;
import sprucehold.coordinator.Attempt;
import sprucehold.coordinator.AttemptResult;
import sprucehold.coordinator.EndpointUpdate;
import sprucehold.coordinator.Observation;
import sprucehold.coordinator.Payload;
import sprucehold.coordinator.Query;
import sprucehold.coordinator.QueryCoordinator;
import sprucehold.coordinator.WriteProgress;
import sprucehold.decision.Command;
import sprucehold.decision.Deployment;
import sprucehold.decision.Event;
import sprucehold.decision.QueryClass;
import sprucehold.deployment.ConnectionSettings;

/** The connections to shard servers against scripted ones on loopback. */
public class ShardServersTest {
    /** More than the buffers of both ends hold together. */
    private static final int BIG = 64 << 20;

    private Vertx vertx;
    private ShardServers shards;
    private QueryCoordinator coordinator;
    private NetServer server;
    private volatile double now;
    private volatile boolean panics;
    private QueryClass.Idempotence repeat;
    private BlockingQueue<Observation> reports;
    private BlockingQueue<String> heard;
    private TestLoop loop;
    private volatile boolean clientWaits;
    private final AttemptGate gate =
            new AttemptGate() {
                @Override
                public boolean clientWaits(Query query) {
                    return clientWaits;
                }

                @Override
                public void begun(Attempt attempt) {
                    begun.add(attempt.partId());
                }

                @Override
                public void turnWanted() {
                    turnsWanted.incrementAndGet();
                    if (!holdsTurns) {
                        vertx.runOnContext(none -> shards.writeWaiting());
                    }
                }
            };

    /** Turns come when the test says so. */
    private volatile boolean holdsTurns;

    private final AtomicInteger turnsWanted = new AtomicInteger();
    private final List<String> begun = new CopyOnWriteArrayList<>();

    @BeforeMethod
    public void open() {
        vertx = Vertx.vertx();
        loop = new TestLoop(vertx);
        reports = new LinkedBlockingQueue<>();
        heard = new LinkedBlockingQueue<>();
        now = 0;
        panics = false;
        clientWaits = true;
        holdsTurns = false;
        turnsWanted.set(0);
        begun.clear();
        repeat = QueryClass.Idempotence.IDEMPOTENT;
    }

    @AfterMethod
    public void close() throws Exception {
        vertx.close().toCompletionStage().toCompletableFuture().get(5, TimeUnit.SECONDS);
    }

    /**
     * Starts a server that does this with what it is sent, and connections that hold so many parts.
     */
    private void start(int parts, int callParts, BiConsumer<NetSocket, String> script)
            throws Exception {
        serve(
                parts,
                callParts,
                socket ->
                        socket.handler(
                                bytes -> {
                                    heard.add(bytes.toString());
                                    script.accept(socket, bytes.toString());
                                }));
    }

    private void serve(int parts, int callParts, Handler<NetSocket> connected) throws Exception {
        server = vertx.createNetServer().connectHandler(connected);
        int port =
                server.listen(0, "127.0.0.1")
                        .toCompletionStage()
                        .toCompletableFuture()
                        .get(5, TimeUnit.SECONDS)
                        .actualPort();
        shards =
                loop.call(
                        () ->
                                new ShardServers(
                                        vertx,
                                        new ConnectionSettings(5000, 15_000, parts),
                                        callParts,
                                        false,
                                        () -> now,
                                        this::reported,
                                        gate));
        var type = new QueryClass("q", repeat, 100, 1, 0, 150, 1, 1, 0);
        coordinator =
                new QueryCoordinator(
                        (time, events) ->
                                events.stream()
                                        .flatMap(
                                                event ->
                                                        event instanceof Event.PartReceived part
                                                                ? Stream.of(
                                                                        (Command)
                                                                                new Command
                                                                                        .SendAttempt(
                                                                                        part.id(),
                                                                                        "a", 240.9))
                                                                : event instanceof Event.WakeUp
                                                                        ? Stream.of(
                                                                                new Command
                                                                                        .SendAttempt(
                                                                                        "s.0", "a",
                                                                                        240.9))
                                                                        : event
                                                                                                instanceof
                                                                                                Event
                                                                                                                .QueryReceived
                                                                                                        scan
                                                                                        && scan.id()
                                                                                                .equals(
                                                                                                        "over")
                                                                                ? Stream.of(
                                                                                        new Command
                                                                                                .FailQuery(
                                                                                                "s"))
                                                                                : Stream.of())
                                        .toList(),
                        new Deployment(
                                1,
                                "z",
                                5,
                                1,
                                List.of(type),
                                List.of(),
                                new Deployment.ShardLayout(1, 1, 1),
                                new Deployment.Limits(4, 1000, true, true, 0),
                                new Deployment.SlowStartRule(1, 0, 1, 0),
                                Deployment.RetryBudget.NONE,
                                new Deployment.EndpointSubscription(false, 0)));
        list(EndpointUpdate.State.RUNNING, port);
    }

    private void reported(Observation observation) {
        if (panics) {
            panics = false;
            throw new IllegalStateException("scripted");
        }
        reports.add(observation);
    }

    private void list(EndpointUpdate.State state, int port) {
        coordinator.observe(
                0,
                List.of(
                        new Observation.EndpointsUpdated(
                                false,
                                List.of(
                                        new EndpointUpdate(
                                                "a", "127.0.0.1:" + port, 0, "z", 0, state)))));
    }

    private List<Attempt> attempts(String id, int parts, String text) {
        var list = new ArrayList<Query.Part>();
        for (int shard = 0; shard < parts; shard++) {
            list.add(new Query.Part(shard, 1.0 / parts));
        }
        return coordinator
                .submit(now, new Query(id, "q", null, 500, list, Payload.ofText(text)))
                .send();
    }

    private int connections() throws Exception {
        return loop.call(() -> shards.connections());
    }

    private void sweep(double silenceMs) throws Exception {
        loop.act(() -> shards.sweep(silenceMs));
    }

    private void cancel(List<Attempt> attempts) throws Exception {
        loop.act(() -> shards.cancel(attempts));
    }

    private void send(List<Attempt> attempts) throws Exception {
        loop.act(() -> shards.send(attempts));
    }

    private AttemptResult outcome(Attempt attempt) throws Exception {
        var ended = (Observation.AttemptEnded) reports.poll(5, TimeUnit.SECONDS);
        assertEquals(ended.attempt(), attempt);
        return ended.result();
    }

    private static void answer(NetSocket socket, String frame) {
        byte[] bytes = frame.getBytes(StandardCharsets.ISO_8859_1);
        socket.write(Buffer.buffer().appendIntLE(bytes.length).appendBytes(bytes));
    }

    @DataProvider
    Object[][] answers() {
        return new Object[][] {
            {"Es.0 hit 5 -\nvalue", "Completed"},
            {"Es.0 fault 0 -\n", "Failed"},
            {"Es.0 overload 0 -\n", "Rejected"},
            {"Fwhat was that", "ConnectionLost[progress=WRITTEN]"},
            {"Xunknown", "Failed"},
            {"Es.0 maybe 0 -\n", "Failed"},
            {"Et.0 hit 5 -\nvalue", "Failed"},
            {"Es.00 hit 5 -\nvalue", "Failed"},
            {"Es.0 hit 0x5 -\nvalue", "Failed"},
            {"Es.0 hit 5 -\nval\0ue", "Failed"},
            {"Es.0 hit 5 -\nval\u00ffue", "Failed"},
            {"close", "ConnectionLost[progress=WRITTEN]"},
            {"half", "ConnectionLost[progress=WRITTEN]"},
        };
    }

    @Test(dataProvider = "answers")
    public void whatComesBackIsTheOutcome(String frame, String outcome) throws Exception {
        start(
                32,
                1,
                (socket, bytes) -> {
                    if (frame.equals("close")) {
                        socket.close();
                    } else if (frame.equals("half")) {
                        socket.write(
                                        Buffer.buffer()
                                                .appendIntLE(19)
                                                .appendString("Es.0 hit 5 -\nva"))
                                .onComplete(done -> socket.close());
                    } else {
                        answer(socket, frame);
                    }
                });
        List<Attempt> sent = attempts("s", 1, "text");
        send(sent);
        assertTrue(outcome(sent.get(0)).toString().startsWith(outcome));
        String call = "As.0 0 d=240 4\ntext";
        assertEquals(
                heard.poll(5, TimeUnit.SECONDS),
                Buffer.buffer().appendIntLE(call.length()).appendString(call).toString());
    }

    @Test
    public void idempotencyKeyOfItsClientGoesWithEachPart() throws Exception {
        start(32, 1, (socket, bytes) -> answer(socket, "Es.0 hit 5 -\nvalue"));
        var query =
                new Query(
                        "s",
                        "q",
                        null,
                        500,
                        Optional.of("b086b1d5"),
                        List.of(new Query.Part(0, 1)),
                        Payload.ofText("text"));
        send(coordinator.submit(now, query).send());
        String call = "As.0 0 d=240,k=b086b1d5 4\ntext";
        assertEquals(
                heard.poll(5, TimeUnit.SECONDS),
                Buffer.buffer().appendIntLE(call.length()).appendString(call).toString());
    }

    /**
     * As it comes once a sound answer is followed by noise or by a copy of itself: only the
     * connection is lost.
     */
    @Test
    public void whatComesOnTopOfASoundAnswerEndsTheConnectionAlone() throws Exception {
        start(
                32,
                1,
                (socket, bytes) -> {
                    answer(socket, "Es.0 hit 5 -\nvalue");
                    answer(socket, "Es.0 hit 5 -\nvalue");
                });
        List<Attempt> sent = attempts("s", 1, "text");
        send(sent);
        assertTrue(outcome(sent.get(0)) instanceof AttemptResult.Completed);
        loop.until(() -> shards.connections() == 0);
        assertTrue(reports.isEmpty());
    }

    @Test
    public void frameThatDoesntEndFailsWhatIsOutOnceNothingMoreComes() throws Exception {
        start(
                32,
                1,
                (socket, bytes) ->
                        socket.write(
                                Buffer.buffer()
                                        .appendIntLE(99)
                                        .appendString("Es.0 hit 5 -\nvalue")));
        List<Attempt> sent = attempts("s", 1, "text");
        send(sent);
        assertTrue(heard.poll(5, TimeUnit.SECONDS).contains("As.0"));
        loop.until(
                () -> {
                    double later = now + 301;
                    now = later;
                    shards.sweep(300);
                    return !reports.isEmpty();
                });
        assertEquals(outcome(sent.get(0)), new AttemptResult.Failed(null));
        assertEquals(connections(), 0);
    }

    @Test
    public void panicClosesItsConnectionAndAllThatIsOutOnItIsLost() throws Exception {
        start(
                32,
                1,
                (socket, bytes) -> {
                    if (bytes.contains("As.1")) {
                        answer(socket, "Es.0 hit 5 -\nvalue");
                    }
                });
        List<Attempt> sent = attempts("s", 2, "text");
        panics = true;
        send(sent);
        assertEquals(outcome(sent.get(1)), new AttemptResult.ConnectionLost(WriteProgress.WRITTEN));
        assertEquals(connections(), 0);
    }

    /**
     * A closed listener is gone only once its loop has looked at its sockets again; until then
     * connections come up.
     */
    private static void untilRefused(int port) throws IOException {
        for (int tries = 0; tries < 10_000; tries++) {
            try (var probe = new Socket()) {
                probe.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 5000);
            } catch (ConnectException refused) {
                return;
            }
        }
        throw new AssertionError("connections to port " + port + " still come up");
    }

    @Test
    public void refusedConnectionProvesThatNothingRan() throws Exception {
        start(32, 1, (socket, bytes) -> {});
        int port = server.actualPort();
        server.close().toCompletionStage().toCompletableFuture().get(5, TimeUnit.SECONDS);
        untilRefused(port);
        List<Attempt> sent = attempts("s", 1, "text");
        send(sent);
        assertEquals(
                outcome(sent.get(0)), new AttemptResult.ConnectionLost(WriteProgress.NOT_WRITTEN));
    }

    @Test
    public void frameCutOffBeforeItsLastByteProvesThatNothingRan() throws Exception {
        // More than the socket's buffers hold, to a server that reads none of it and then resets.
        serve(
                32,
                1,
                socket -> {
                    socket.pause();
                    vertx.setTimer(100, timer -> socket.close());
                });
        List<Attempt> sent = attempts("s", 1, "x".repeat(BIG));
        send(sent);
        assertEquals(
                outcome(sent.get(0)),
                new AttemptResult.ConnectionLost(WriteProgress.PARTLY_WRITTEN));
    }

    @Test
    public void partGivenUpIsToldAndItsLateAnswerIsDropped() throws Exception {
        start(
                32,
                1,
                (socket, bytes) -> {
                    if (bytes.charAt(4) == 'B') {
                        answer(socket, "Es.0 hit 5 -\nvalue");
                        answer(socket, "Es.1 hit 5 -\nvalue");
                    }
                });
        List<Attempt> sent = attempts("s", 2, "text");
        send(sent);
        assertTrue(heard.poll(5, TimeUnit.SECONDS).contains("As.0"));
        cancel(List.of(sent.get(0)));
        assertEquals(outcome(sent.get(0)), new AttemptResult.Cancelled(WriteProgress.WRITTEN));
        assertTrue(outcome(sent.get(1)) instanceof AttemptResult.Completed);
        assertEquals(connections(), 1);
    }

    /** A server that stood still for minutes answers all that it held; none of that is noise. */
    @Test
    public void answerToAPartGivenUpLongAgoSpoilsNothingElse() throws Exception {
        start(
                32,
                1,
                (socket, bytes) -> {
                    if (bytes.contains("At.0")) {
                        answer(socket, "Es.0 hit 5 -\nvalue");
                        answer(socket, "Et.0 hit 5 -\nvalue");
                    }
                });
        List<Attempt> first = attempts("s", 1, "text");
        send(first);
        assertTrue(heard.poll(5, TimeUnit.SECONDS).contains("As.0"));
        cancel(first);
        outcome(first.get(0));
        // Swept as often as time passes, but never idle for so long that the connection is closed.
        now = 14_000;
        List<Attempt> between = attempts("u", 1, "text");
        send(between);
        now = 90_000;
        List<Attempt> second =
                coordinator
                        .submit(
                                now,
                                new Query(
                                        "t",
                                        "q",
                                        null,
                                        500,
                                        List.of(new Query.Part(0, 1)),
                                        Payload.owning(new byte[4])))
                        .send();
        loop.act(
                () -> {
                    shards.sweep(1e9);
                    shards.send(second);
                });
        Observation.AttemptEnded ended;
        do {
            ended = (Observation.AttemptEnded) reports.poll(5, TimeUnit.SECONDS);
        } while (ended.attempt() != second.get(0));
        assertTrue(ended.result() instanceof AttemptResult.Completed, ended.toString());
        assertEquals(connections(), 1);
    }

    @Test
    public void partCalledOffBeforeTheConnectionIsUpIsNeverWritten() throws Exception {
        start(32, 1, (socket, bytes) -> {});
        List<Attempt> sent = attempts("s", 2, "text");
        loop.act(
                () -> {
                    shards.send(sent);
                    shards.cancel(List.of(sent.get(0)));
                });
        assertEquals(outcome(sent.get(0)), new AttemptResult.Cancelled(WriteProgress.NOT_WRITTEN));
        assertTrue(heard.poll(5, TimeUnit.SECONDS).contains("As.1"));
    }

    /**
     * Has what was sent wait for its connection until so much time has passed and this was done.
     */
    private void sendAndComeUpLate(List<Attempt> attempts, double at, Runnable meanwhile)
            throws Exception {
        loop.act(
                () -> {
                    // Both in one task of the loop, so that the connection comes up after it.
                    shards.send(attempts);
                    now = at;
                    meanwhile.run();
                });
    }

    @DataProvider
    Object[][] lateWrites() {
        return new Object[][] {{0, "d=240 "}, {100, "d=140 "}, {239.95, "d=1 "}};
    }

    @Test(dataProvider = "lateWrites")
    public void serverIsToldHowLongItsAnswerIsStillWaitedForWhenThePartIsWritten(
            double at, String told) throws Exception {
        start(32, 1, (socket, bytes) -> {});
        sendAndComeUpLate(attempts("s", 1, "text"), at, () -> {});
        String call = heard.poll(5, TimeUnit.SECONDS);
        assertTrue(call.contains("As.0 0 " + told), call);
    }

    @DataProvider
    Object[][] tooLate() {
        return new Object[][] {
            // When the connection is up, and what happened by then.
            {241.0, "nothing"}, {100.0, "left"}, {100.0, "abandoned"},
        };
    }

    /** The decisions may not be allowed to call anything off, or not have been woken in time. */
    @Test(dataProvider = "tooLate")
    public void nothingIsWrittenToAConnectionThatComesUpAfterThePartIsOver(
            double at, String happened) throws Exception {
        start(32, 1, (socket, bytes) -> {});
        List<Attempt> sent = attempts("s", 1, "text");
        sendAndComeUpLate(
                sent,
                at,
                () -> {
                    switch (happened) {
                        case "left" ->
                                coordinator.observe(
                                        at,
                                        List.of(
                                                new Observation.ClientDisconnected(
                                                        sent.get(0).query())));
                        case "abandoned" -> attempts("over", 1, "text");
                        default -> {}
                    }
                });
        assertEquals(outcome(sent.get(0)), new AttemptResult.Cancelled(WriteProgress.NOT_WRITTEN));
        assertNull(heard.poll());
    }

    @DataProvider
    Object[][] repeats() {
        return new Object[][] {
            // How the part may repeat, how its first attempt ended, when the connection of the
            // second is up, whether it goes out.
            {
                QueryClass.Idempotence.DEDUPLICATED,
                new AttemptResult.ConnectionLost(WriteProgress.WRITTEN),
                149.0,
                true
            },
            {
                QueryClass.Idempotence.DEDUPLICATED,
                new AttemptResult.ConnectionLost(WriteProgress.WRITTEN),
                151.0,
                false
            },
            {QueryClass.Idempotence.DEDUPLICATED, null, 151.0, false},
            {
                QueryClass.Idempotence.DEDUPLICATED,
                new AttemptResult.ConnectionLost(WriteProgress.PARTLY_WRITTEN),
                151.0,
                true
            },
            {QueryClass.Idempotence.DEDUPLICATED, new AttemptResult.Rejected(null), 151.0, true},
            {
                QueryClass.Idempotence.IDEMPOTENT,
                new AttemptResult.ConnectionLost(WriteProgress.WRITTEN),
                151.0,
                true
            },
            {
                QueryClass.Idempotence.NON_IDEMPOTENT,
                new AttemptResult.ConnectionLost(WriteProgress.PARTLY_WRITTEN),
                100.0,
                true
            },
            {
                QueryClass.Idempotence.NON_IDEMPOTENT,
                new AttemptResult.ConnectionLost(WriteProgress.WRITTEN),
                100.0,
                false
            },
        };
    }

    /**
     * A repeat was ordered inside the time in which repeats are dropped; its connection takes
     * longer.
     */
    @Test(dataProvider = "repeats")
    public void repeatIsWrittenOnlyWhileItDoesNoHarm(
            QueryClass.Idempotence kind, AttemptResult first, double at, boolean goes)
            throws Exception {
        repeat = kind;
        start(32, 1, (socket, bytes) -> {});
        Attempt one = attempts("s", 1, "text").get(0);
        if (first != null) {
            coordinator.observe(1, List.of(new Observation.AttemptEnded(one, first)));
        }
        List<Attempt> sent = coordinator.tick(1).send();
        sendAndComeUpLate(sent, at, () -> {});
        if (goes) {
            assertTrue(heard.poll(5, TimeUnit.SECONDS).contains("As.0"));
        } else {
            assertEquals(
                    outcome(sent.get(0)), new AttemptResult.Cancelled(WriteProgress.NOT_WRITTEN));
            assertNull(heard.poll());
        }
    }

    @DataProvider
    Object[][] closedStates() {
        return new Object[][] {{EndpointUpdate.State.DRAINING}, {EndpointUpdate.State.GONE}};
    }

    @Test(dataProvider = "closedStates")
    public void nothingGoesToAServerThatBeganToDrainWhileTheConnectionCameUp(
            EndpointUpdate.State state) throws Exception {
        start(32, 1, (socket, bytes) -> {});
        List<Attempt> sent = attempts("s", 1, "text");
        loop.act(
                () -> {
                    shards.send(sent);
                    list(state, server.actualPort());
                });
        assertEquals(
                outcome(sent.get(0)), new AttemptResult.ConnectionLost(WriteProgress.NOT_WRITTEN));
        assertNull(heard.poll());
    }

    @Test(dataProvider = "closedStates")
    public void serverThatIsNotWantedAnyMoreKeepsItsConnectionOnlyWhileSomethingIsOut(
            EndpointUpdate.State state) throws Exception {
        start(32, 1, (socket, bytes) -> {});
        List<Attempt> sent = attempts("s", 1, "text");
        send(sent);
        assertTrue(heard.poll(5, TimeUnit.SECONDS).contains("As.0"));
        for (int left : new int[] {1, 0}) {
            loop.act(
                    () -> {
                        list(state, server.actualPort());
                        shards.sweep(300);
                        shards.cancel(left == 1 ? sent : List.of());
                    });
            assertEquals(connections(), left);
        }
    }

    @Test
    public void furtherConnectionIsOpenedOnlyWhenOneIsFull() throws Exception {
        start(2, 1, (socket, bytes) -> {});
        send(attempts("s", 3, "text"));
        send(attempts("t", 1, "text"));
        for (int i = 0; i < 2; i++) {
            assertTrue(heard.poll(5, TimeUnit.SECONDS) != null);
        }
        assertEquals(connections(), 2);
    }

    @Test
    public void sameIdGoesOutOnAnotherConnectionWhileItsFirstAnswerMayCome() throws Exception {
        start(32, 1, (socket, bytes) -> {});
        List<Attempt> sent = attempts("s", 1, "text");
        send(sent);
        assertTrue(heard.poll(5, TimeUnit.SECONDS).contains("As.0"));
        loop.act(
                () -> {
                    shards.cancel(sent);
                    shards.send(sent);
                });
        assertEquals(connections(), 2);
    }

    @Test
    public void partsOfOneScanShareCallsAndOthersNever() throws Exception {
        start(32, 2, (socket, bytes) -> {});
        var all = new ArrayList<>(attempts("s", 3, "one"));
        all.addAll(attempts("t", 1, "two"));
        send(all);
        var bytes = new StringBuilder();
        while (!bytes.toString().contains("two")) {
            bytes.append(heard.poll(5, TimeUnit.SECONDS));
        }
        assertEquals(bytes.toString().split("A[st]\\.", -1).length, 4, bytes.toString());
        assertTrue(bytes.toString().contains("As.0 0 d=240 3\nones.1 1 d=240 3\none"));
    }

    @Test
    public void silentConnectionGetsNoFurtherPartsAndIsClosedOnceNothingIsOutOnIt()
            throws Exception {
        start(32, 1, (socket, bytes) -> {});
        List<Attempt> first = attempts("s", 1, "text");
        send(first);
        assertTrue(heard.poll(5, TimeUnit.SECONDS).contains("As.0"));
        now = 301;
        loop.act(
                () -> {
                    shards.sweep(300);
                    shards.send(attempts("t", 1, "text"));
                });
        assertTrue(heard.poll(5, TimeUnit.SECONDS).contains("At.0"));
        assertEquals(connections(), 2);
        loop.act(
                () -> {
                    shards.cancel(first);
                    shards.sweep(300);
                });
        assertEquals(connections(), 1);
    }

    @Test
    public void idleConnectionIsClosedBeforeTheServerMay() throws Exception {
        start(32, 1, (socket, bytes) -> answer(socket, "Es.0 hit 5 -\nvalue"));
        List<Attempt> sent = attempts("s", 1, "text");
        send(sent);
        outcome(sent.get(0));
        for (double[] step : new double[][] {{14_400, 1}, {14_401, 0}}) {
            now = step[0];
            sweep(300);
            assertEquals(connections(), (int) step[1]);
        }
    }

    @Test
    public void noAttemptIsWrittenForAClientThatIsGoneHoweverItWaited() throws Exception {
        start(32, 1, (socket, bytes) -> answer(socket, "Es.0 hit 5 -\nvalue"));
        // One that waits for its connection, and then one that finds it up.
        clientWaits = false;
        for (String id : List.of("t", "u")) {
            List<Attempt> sent = attempts(id, 1, "text");
            send(sent);
            assertEquals(
                    outcome(sent.get(0)), new AttemptResult.Cancelled(WriteProgress.NOT_WRITTEN));
        }
        clientWaits = true;
        List<Attempt> sent = attempts("s", 1, "text");
        send(sent);
        assertTrue(outcome(sent.get(0)) instanceof AttemptResult.Completed);
        assertTrue(heard.poll(5, TimeUnit.SECONDS).contains("As.0"));
        assertEquals(begun, List.of("s.0"));
    }

    /** Reads a whole frame and answers the part that it asks for. */
    private static void serveOne(Socket connection, String partId) throws IOException {
        connection.setSoTimeout(10_000);
        int length =
                Integer.reverseBytes(new DataInputStream(connection.getInputStream()).readInt());
        assertTrue(
                new String(
                                connection.getInputStream().readNBytes(length),
                                StandardCharsets.US_ASCII)
                        .startsWith("A" + partId));
        String frame = "E" + partId + " hit 5 -\nvalue";
        connection
                .getOutputStream()
                .write(Buffer.buffer().appendIntLE(frame.length()).appendString(frame).getBytes());
    }

    @Test
    public void aConnectionWhoseEndLiesUnreadIsNotWrittenTo() throws Exception {
        repeat = QueryClass.Idempotence.NON_IDEMPOTENT;
        start(32, 1, (socket, bytes) -> {});
        try (var listener = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
            listener.setSoTimeout(10_000);
            list(EndpointUpdate.State.RUNNING, listener.getLocalPort());
            List<Attempt> first = attempts("s", 1, "text");
            send(first);
            Socket connection = listener.accept();
            serveOne(connection, "s.0");
            assertTrue(outcome(first.get(0)) instanceof AttemptResult.Completed);
            List<Attempt> second = attempts("t", 1, "text");
            Runnable free = loop.hold(() -> shards.send(second));
            connection.close();
            free.run();
            try (Socket further = listener.accept()) {
                serveOne(further, "t.0");
                assertTrue(outcome(second.get(0)) instanceof AttemptResult.Completed);
            }
        }
    }

    /**
     * What comes up in the middle of a pass knows nothing of a list that lies unread and tells of a
     * drain.
     */
    @Test
    public void aConnectionThatComesUpIsWrittenToInTheNextTurnOnly() throws Exception {
        holdsTurns = true;
        start(32, 1, (socket, bytes) -> {});
        List<Attempt> sent = attempts("s", 1, "text");
        send(sent);
        loop.until(() -> turnsWanted.get() > 0);
        assertEquals(begun, List.of());
        list(EndpointUpdate.State.DRAINING, server.actualPort());
        loop.act(() -> shards.writeWaiting());
        assertEquals(
                outcome(sent.get(0)), new AttemptResult.ConnectionLost(WriteProgress.NOT_WRITTEN));
        assertEquals(begun, List.of());
    }

    /**
     * A server that reads nothing until its connections, which are returned as they come up, are
     * resumed.
     */
    private List<NetSocket> serveUnread() throws Exception {
        var connections = new CopyOnWriteArrayList<NetSocket>();
        serve(
                32,
                1,
                socket -> {
                    socket.pause();
                    socket.handler(bytes -> {});
                    connections.add(socket);
                });
        return connections;
    }

    @Test
    public void noAttemptWaitsInTheProcessBehindWhatTheSystemHasNotTaken() throws Exception {
        List<NetSocket> connections = serveUnread();
        List<Attempt> big = attempts("s", 1, "x".repeat(BIG));
        List<Attempt> small = attempts("t", 1, "text");
        loop.act(
                () -> {
                    shards.send(big);
                    shards.send(small);
                });
        loop.until(() -> !connections.isEmpty() && begun.contains("s.0"));
        assertEquals(begun, List.of("s.0"));
        clientWaits = false;
        connections.get(0).resume();
        assertEquals(outcome(small.get(0)), new AttemptResult.Cancelled(WriteProgress.NOT_WRITTEN));
        assertEquals(begun, List.of("s.0"));
    }

    @Test
    public void whatWaitedBehindAnotherFrameIsWrittenOnceThatIsTaken() throws Exception {
        List<NetSocket> connections = serveUnread();
        loop.act(
                () -> {
                    shards.send(attempts("s", 1, "x".repeat(BIG)));
                    shards.send(attempts("t", 1, "text"));
                });
        loop.until(() -> !connections.isEmpty() && begun.contains("s.0"));
        connections.get(0).resume();
        loop.until(() -> begun.equals(List.of("s.0", "t.0")));
        assertEquals(connections(), 1);
    }

    /**
     * As after a hold-up: the time is over by which it should have answered, and its answer lies
     * unread.
     */
    @Test
    public void aServerWhoseAnswerLiesUnreadIsNotTakenForSilent() throws Exception {
        start(32, 1, (socket, bytes) -> {});
        try (var listener = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
            listener.setSoTimeout(10_000);
            list(EndpointUpdate.State.RUNNING, listener.getLocalPort());
            List<Attempt> first = attempts("s", 1, "text");
            send(first);
            try (Socket connection = listener.accept()) {
                loop.until(() -> begun.contains("s.0"));
                List<Attempt> second = attempts("t", 1, "text");
                Runnable free =
                        loop.hold(
                                () -> {
                                    now = 220;
                                    shards.sweep(200);
                                    shards.send(second);
                                });
                serveOne(connection, "s.0");
                free.run();
                assertTrue(outcome(first.get(0)) instanceof AttemptResult.Completed);
                serveOne(connection, "t.0");
                assertTrue(outcome(second.get(0)) instanceof AttemptResult.Completed);
                assertEquals(connections(), 1);
            }
        }
    }
}
