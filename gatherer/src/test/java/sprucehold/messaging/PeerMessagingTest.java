package sprucehold.messaging;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.net.BindException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import java.util.zip.CRC32C;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import sprucehold.cluster.membership.MemberMessage;
import sprucehold.cluster.membership.MemberUpdate;
import sprucehold.cluster.session.ClusterMessage;
import sprucehold.cluster.wire.Codec;

/** Messages between gatherers over loopback sockets, and other bytes sent to the same ports. */
public class PeerMessagingTest {
    private static final int TIMEOUT_S = 10;
    private static final String LOOPBACK_HOST = "127.0.0.1";
    private static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();
    private static final ClusterMessage PING =
            new ClusterMessage.MembershipPart(new MemberMessage.Ping(1, List.of()));

    private record ReceivedMessage(String from, ClusterMessage message) {}

    private Vertx vertx;
    private int portA;
    private int portB;
    private PeerMessaging a;
    private PeerMessaging b;
    private volatile double now;
    private final BlockingQueue<ReceivedMessage> toA = new LinkedBlockingQueue<>();
    private final BlockingQueue<ReceivedMessage> toB = new LinkedBlockingQueue<>();

    /** Returns a port that no socket uses for UDP or TCP at the moment. */
    private static int freePort() throws Exception {
        while (true) {
            try (ServerSocket stream = new ServerSocket(0, 1, LOOPBACK);
                    DatagramSocket datagram =
                            new DatagramSocket(
                                    new InetSocketAddress(LOOPBACK, stream.getLocalPort()))) {
                return datagram.getLocalPort();
            } catch (BindException e) {
                // The port is in use for UDP; try another one.
            }
        }
    }

    @BeforeMethod
    public void open() throws Exception {
        vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
        now = 0;
        toA.clear();
        toB.clear();
        portA = freePort();
        portB = freePort();
        a =
                openMessaging(
                        "a",
                        portA,
                        Map.of("b", new PeerMessagingSettings.Address(LOOPBACK_HOST, portB)),
                        toA);
        b =
                openMessaging(
                        "b",
                        portB,
                        Map.of("a", new PeerMessagingSettings.Address(LOOPBACK_HOST, portA)),
                        toB);
    }

    private PeerMessaging openMessaging(
            String self,
            int port,
            Map<String, PeerMessagingSettings.Address> peers,
            BlockingQueue<ReceivedMessage> received)
            throws Exception {
        return runOnEventLoop(
                () -> {
                    var messaging =
                            new PeerMessaging(
                                    vertx,
                                    new PeerMessagingSettings(
                                            self, LOOPBACK_HOST, port, peers, 100_000),
                                    () -> now,
                                    (from, message) ->
                                            received.add(new ReceivedMessage(from, message)));
                    return messaging.open().map(messaging);
                });
    }

    @AfterMethod
    public void close() throws Exception {
        vertx.close().toCompletionStage().toCompletableFuture().get(TIMEOUT_S, TimeUnit.SECONDS);
    }

    private <T> T runOnEventLoop(Supplier<Future<T>> action) throws Exception {
        var done = new CompletableFuture<T>();
        vertx.runOnContext(
                none -> action.get().onComplete(done::complete, done::completeExceptionally));
        return done.get(TIMEOUT_S, TimeUnit.SECONDS);
    }

    private void send(PeerMessaging from, String to, ClusterMessage message) throws Exception {
        runOnEventLoop(
                () -> {
                    from.send(to, message);
                    return Future.succeededFuture();
                });
    }

    private static ClusterMessage membershipTable(int members) {
        return new ClusterMessage.MembershipPart(
                new MemberMessage.MemberTable(
                        true,
                        Collections.nCopies(
                                members,
                                new MemberUpdate(
                                        "gatherer-one", "site", 5, 0, MemberUpdate.State.ALIVE))));
    }

    @DataProvider
    Object[][] messages() {
        return new Object[][] {
            {"a datagram", PING},
            {"longer than a datagram", membershipTable(200)},
            {"a thousand members", membershipTable(1000)}
        };
    }

    @Test(dataProvider = "messages")
    public void messageIsReceivedAsItWasSent(String description, ClusterMessage message)
            throws Exception {
        send(a, "b", message);
        assertEquals(
                toB.poll(TIMEOUT_S, TimeUnit.SECONDS),
                new ReceivedMessage("a", message),
                description);
    }

    @DataProvider
    Object[][] invalidDatagrams() {
        byte[] encoded = new Codec("a").write("b", PING, 1);
        byte[] flipped = encoded.clone();
        flipped[9] ^= 4;
        return new Object[][] {
            {"empty", new byte[0]},
            {"random bytes", new byte[] {1, 2, 3}},
            {"truncated", Arrays.copyOf(encoded, encoded.length - 1)},
            {"corrupted in transit", flipped},
            {"longer than any message", Arrays.copyOf(encoded, 60_000)},
            {"to another gatherer", new Codec("a").write("c", PING, 1)},
            {"from an unknown gatherer", new Codec("z").write("b", PING, 1)},
            {"from the recipient itself", new Codec("b").write("b", PING, 1)},
        };
    }

    @Test(dataProvider = "invalidDatagrams")
    public void invalidDatagramIsIgnoredAndTheNextMessageIsRead(String description, byte[] bytes)
            throws Exception {
        try (var socket = new DatagramSocket()) {
            socket.send(
                    new DatagramPacket(
                            bytes, bytes.length, new InetSocketAddress(LOOPBACK, portB)));
            byte[] valid = new Codec("a").write("b", PING, 1);
            socket.send(
                    new DatagramPacket(
                            valid, valid.length, new InetSocketAddress(LOOPBACK, portB)));
        }
        assertEquals(
                toB.poll(TIMEOUT_S, TimeUnit.SECONDS), new ReceivedMessage("a", PING), description);
        assertTrue(toB.isEmpty(), description);
    }

    @DataProvider
    Object[][] invalidStreams() throws Exception {
        var valid = new ByteArrayOutputStream();
        byte[] encoded = new Codec("a").write("b", membershipTable(100), 1);
        var output = new DataOutputStream(valid);
        output.writeInt(encoded.length);
        output.write(encoded);
        return new Object[][] {
            {"negative length", new byte[] {-1, 0, 0, 0, 9}},
            {"length above the limit", new byte[] {127, 0, 0, 0, 9}},
            {"random bytes", new byte[] {0, 0, 0, 3, 1, 2, 3}},
            {"half of a message, then a close", Arrays.copyOf(valid.toByteArray(), 500)},
            {"empty", new byte[0]},
        };
    }

    @Test(dataProvider = "invalidStreams")
    public void connectionWithoutValidMessageIsClosedAndTheNextMessageIsRead(
            String description, byte[] bytes) throws Exception {
        try (var socket = new Socket(LOOPBACK, portB)) {
            socket.getOutputStream().write(bytes);
            if (bytes.length > 4 && bytes.length < 100) {
                socket.setSoTimeout(1000 * TIMEOUT_S);
                assertEquals(
                        socket.getInputStream().read(),
                        -1,
                        "closed by the other side: " + description);
            }
        }
        send(a, "b", membershipTable(200));
        assertEquals(
                toB.poll(TIMEOUT_S, TimeUnit.SECONDS),
                new ReceivedMessage("a", membershipTable(200)),
                description);
        assertTrue(toB.isEmpty(), description);
    }

    @Test
    public void connectionsAboveTheLimitAreClosedUnread() throws Exception {
        var sockets = new ArrayList<Socket>();
        try {
            int closed = 0;
            for (int i = 0; i < 20; i++) {
                var socket = new Socket(LOOPBACK, portB);
                socket.setSoTimeout(1000 * TIMEOUT_S);
                sockets.add(socket);
            }
            for (Socket socket : sockets) {
                // Accepted connections stay open until their timeout; the others are closed at
                // once.
                assertEquals(socket.getInputStream().read(), -1);
                closed++;
            }
            assertEquals(closed, 20);
        } finally {
            for (Socket socket : sockets) {
                socket.close();
            }
        }
        long rejected = runOnEventLoop(() -> Future.succeededFuture(b.counters().notRead()));
        // Fewer than 12 are rejected only if the first connections timed out before the last ones
        // were made.
        assertTrue(
                rejected > 0 && rejected <= 12,
                "eight are accepted at a time; rejected: " + rejected);
    }

    @Test
    public void messagesAboveTheByteLimitAreNotSent() throws Exception {
        runOnEventLoop(
                () -> {
                    for (int i = 0; i < 10_000; i++) {
                        a.send("b", PING);
                    }
                    return Future.succeededFuture();
                });
        int size = new Codec("a").write("b", PING, 1).length;
        assertEquals(
                (long) runOnEventLoop(() -> Future.succeededFuture(a.counters().sent())),
                100_000L / size);
        now = 1000;
        send(a, "b", PING);
        assertEquals(
                (long) runOnEventLoop(() -> Future.succeededFuture(a.counters().sent())),
                100_000L / size + 1);
    }

    @Test
    public void floodIsReadUpToTheDatagramLimitAndTheNextSecondIsReadAgain() throws Exception {
        byte[] encoded = new Codec("a").write("b", PING, 1);
        try (var socket = new DatagramSocket()) {
            long deadlineNs = System.nanoTime() + 1_000_000_000L * TIMEOUT_S;
            // The operating system drops some of the datagrams, so datagrams are sent until enough
            // of them have arrived.
            while (runOnEventLoop(() -> Future.succeededFuture(b.counters().notRead())) < 1000
                    && System.nanoTime() < deadlineNs) {
                for (int i = 0; i < 200; i++) {
                    socket.send(
                            new DatagramPacket(
                                    encoded,
                                    encoded.length,
                                    new InetSocketAddress(LOOPBACK, portB)));
                }
            }
            assertEquals(
                    (long) runOnEventLoop(() -> Future.succeededFuture(b.counters().received())),
                    5000L);
            now = 1000;
            toB.clear();
            socket.send(
                    new DatagramPacket(
                            encoded, encoded.length, new InetSocketAddress(LOOPBACK, portB)));
        }
        assertEquals(toB.poll(TIMEOUT_S, TimeUnit.SECONDS), new ReceivedMessage("a", PING));
    }

    @Test
    public void messageOfUnknownVersionIsRefusedOnceWithAReason() throws Exception {
        byte[] encoded = new Codec("a").write("b", PING, 1);
        encoded[2] = 9;
        var checksum = new CRC32C();
        checksum.update(encoded[2]);
        checksum.update(encoded, 7, encoded.length - 7);
        for (int i = 0; i < 4; i++) {
            encoded[3 + i] = (byte) (checksum.getValue() >>> (24 - 8 * i));
        }
        try (var socket = new DatagramSocket(new InetSocketAddress(LOOPBACK, 0))) {
            socket.setSoTimeout(1000 * TIMEOUT_S);
            for (int i = 0; i < 3; i++) {
                socket.send(
                        new DatagramPacket(
                                encoded, encoded.length, new InetSocketAddress(LOOPBACK, portB)));
            }
            byte[] valid = new Codec("a").write("b", PING, 1);
            socket.send(
                    new DatagramPacket(
                            valid, valid.length, new InetSocketAddress(LOOPBACK, portB)));
            var refusal = new DatagramPacket(new byte[1500], 1500);
            socket.receive(refusal);
            assertEquals(
                    new String(
                            refusal.getData(), 7, refusal.getLength() - 7, StandardCharsets.UTF_8),
                    "version 9 can't be read here, 1 to 1 can");
            assertEquals(toB.poll(TIMEOUT_S, TimeUnit.SECONDS), new ReceivedMessage("a", PING));
            // All three messages were read before the valid one, so a second refusal would have
            // been sent by now.
            socket.setSoTimeout(200);
            expectThrows(SocketTimeoutException.class, () -> socket.receive(refusal));
        }
    }

    @Test
    public void handlerThatThrowsDoesNotStopFurtherMessages() throws Exception {
        int port = freePort();
        var received = new LinkedBlockingQueue<ReceivedMessage>();
        runOnEventLoop(
                () ->
                        new PeerMessaging(
                                        vertx,
                                        new PeerMessagingSettings(
                                                "c",
                                                LOOPBACK_HOST,
                                                port,
                                                Map.of(
                                                        "a",
                                                        new PeerMessagingSettings.Address(
                                                                LOOPBACK_HOST, portA)),
                                                1e6),
                                        () -> now,
                                        (from, message) -> {
                                            received.add(new ReceivedMessage(from, message));
                                            throw new IllegalStateException("scripted");
                                        })
                                .open());
        try (var socket = new DatagramSocket()) {
            byte[] encoded = new Codec("a").write("c", PING, 1);
            for (int i = 0; i < 2; i++) {
                socket.send(
                        new DatagramPacket(
                                encoded, encoded.length, new InetSocketAddress(LOOPBACK, port)));
                assertEquals(
                        received.poll(TIMEOUT_S, TimeUnit.SECONDS), new ReceivedMessage("a", PING));
            }
        }
    }

    @Test
    public void openOnAnAddressInUseFailsWithAClearMessage() throws Exception {
        var result = new CompletableFuture<String>();
        vertx.runOnContext(
                none ->
                        new PeerMessaging(
                                        vertx,
                                        new PeerMessagingSettings(
                                                "d", LOOPBACK_HOST, portB, Map.of(), 1e6),
                                        () -> now,
                                        (from, message) -> {})
                                .open()
                                .onComplete(
                                        open -> result.complete("opened"),
                                        failure -> result.complete(failure.getMessage())));
        assertTrue(result.get(TIMEOUT_S, TimeUnit.SECONDS).contains("in use"), result.get());
    }
}
