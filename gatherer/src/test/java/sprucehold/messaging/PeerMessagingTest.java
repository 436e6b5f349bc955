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

/** Letters over sockets, and whatever else may come to where they come. */
public class PeerMessagingTest {
    private static final int WITHIN_S = 10;
    private static final String HERE = "127.0.0.1";
    private static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();
    private static final ClusterMessage PING =
            new ClusterMessage.MembershipPart(new MemberMessage.Ping(1, List.of()));

    private record Came(String from, ClusterMessage letter) {}

    private Vertx vertx;
    private int portA;
    private int portB;
    private PeerMessaging a;
    private PeerMessaging b;
    private volatile double now;
    private final BlockingQueue<Came> toA = new LinkedBlockingQueue<>();
    private final BlockingQueue<Came> toB = new LinkedBlockingQueue<>();

    /** A port that is free for UDP and TCP alike, held by nobody for the moment. */
    private static int free() throws Exception {
        while (true) {
            try (ServerSocket stream = new ServerSocket(0, 1, LOOPBACK);
                    DatagramSocket datagram =
                            new DatagramSocket(
                                    new InetSocketAddress(LOOPBACK, stream.getLocalPort()))) {
                return datagram.getLocalPort();
            } catch (BindException e) {
                // Taken for UDP; another.
            }
        }
    }

    @BeforeMethod
    public void open() throws Exception {
        vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
        now = 0;
        toA.clear();
        toB.clear();
        portA = free();
        portB = free();
        a = post("a", portA, Map.of("b", new PeerMessagingSettings.Address(HERE, portB)), toA);
        b = post("b", portB, Map.of("a", new PeerMessagingSettings.Address(HERE, portA)), toB);
    }

    private PeerMessaging post(
            String self,
            int port,
            Map<String, PeerMessagingSettings.Address> others,
            BlockingQueue<Came> into)
            throws Exception {
        return on(
                () -> {
                    var post =
                            new PeerMessaging(
                                    vertx,
                                    new PeerMessagingSettings(self, HERE, port, others, 100_000),
                                    () -> now,
                                    (from, message) -> into.add(new Came(from, message)));
                    return post.open().map(post);
                });
    }

    @AfterMethod
    public void close() throws Exception {
        vertx.close().toCompletionStage().toCompletableFuture().get(WITHIN_S, TimeUnit.SECONDS);
    }

    private <T> T on(Supplier<Future<T>> what) throws Exception {
        var done = new CompletableFuture<T>();
        vertx.runOnContext(
                none -> what.get().onComplete(done::complete, done::completeExceptionally));
        return done.get(WITHIN_S, TimeUnit.SECONDS);
    }

    private void send(PeerMessaging from, String to, ClusterMessage message) throws Exception {
        on(
                () -> {
                    from.send(to, message);
                    return Future.succeededFuture();
                });
    }

    private static ClusterMessage table(int members) {
        return new ClusterMessage.MembershipPart(
                new MemberMessage.MemberTable(
                        true,
                        Collections.nCopies(
                                members,
                                new MemberUpdate(
                                        "gatherer-one", "site", 5, 0, MemberUpdate.State.ALIVE))));
    }

    @DataProvider
    Object[][] letters() {
        return new Object[][] {
            {"a datagram", PING},
            {"longer than a datagram", table(200)},
            {"a thousand members", table(1000)}
        };
    }

    @Test(dataProvider = "letters")
    public void aMessageComesAsItWasSent(String what, ClusterMessage message) throws Exception {
        send(a, "b", message);
        assertEquals(toB.poll(WITHIN_S, TimeUnit.SECONDS), new Came("a", message), what);
    }

    @DataProvider
    Object[][] notLetters() {
        byte[] letter = new Codec("a").write("b", PING, 1);
        byte[] flipped = letter.clone();
        flipped[9] ^= 4;
        return new Object[][] {
            {"nothing", new byte[0]},
            {"noise", new byte[] {1, 2, 3}},
            {"cut short", Arrays.copyOf(letter, letter.length - 1)},
            {"changed on the way", flipped},
            {"longer than any", Arrays.copyOf(letter, 60_000)},
            {"to another", new Codec("a").write("c", PING, 1)},
            {"from a stranger", new Codec("z").write("b", PING, 1)},
            {"from itself", new Codec("b").write("b", PING, 1)},
        };
    }

    @Test(dataProvider = "notLetters")
    public void bytesThatAreNoMessageChangeNothingAndTheNextIsRead(String what, byte[] bytes)
            throws Exception {
        try (var socket = new DatagramSocket()) {
            socket.send(
                    new DatagramPacket(
                            bytes, bytes.length, new InetSocketAddress(LOOPBACK, portB)));
            byte[] good = new Codec("a").write("b", PING, 1);
            socket.send(
                    new DatagramPacket(good, good.length, new InetSocketAddress(LOOPBACK, portB)));
        }
        assertEquals(toB.poll(WITHIN_S, TimeUnit.SECONDS), new Came("a", PING), what);
        assertTrue(toB.isEmpty(), what);
    }

    @DataProvider
    Object[][] streams() throws Exception {
        var good = new ByteArrayOutputStream();
        byte[] letter = new Codec("a").write("b", table(100), 1);
        var out = new DataOutputStream(good);
        out.writeInt(letter.length);
        out.write(letter);
        return new Object[][] {
            {"a length below nothing", new byte[] {-1, 0, 0, 0, 9}},
            {"a length beyond all", new byte[] {127, 0, 0, 0, 9}},
            {"noise", new byte[] {0, 0, 0, 3, 1, 2, 3}},
            {"half of a letter, then a close", Arrays.copyOf(good.toByteArray(), 500)},
            {"nothing", new byte[0]},
        };
    }

    @Test(dataProvider = "streams")
    public void aStreamThatBringsNoMessageIsClosedAndTheNextIsRead(String what, byte[] bytes)
            throws Exception {
        try (var socket = new Socket(LOOPBACK, portB)) {
            socket.getOutputStream().write(bytes);
            if (bytes.length > 4 && bytes.length < 100) {
                socket.setSoTimeout(1000 * WITHIN_S);
                assertEquals(
                        socket.getInputStream().read(), -1, "closed by the other side: " + what);
            }
        }
        send(a, "b", table(200));
        assertEquals(toB.poll(WITHIN_S, TimeUnit.SECONDS), new Came("a", table(200)), what);
        assertTrue(toB.isEmpty(), what);
    }

    @Test
    public void moreStreamsThanThereIsPlaceForAreClosedAtOnce() throws Exception {
        var held = new ArrayList<Socket>();
        try {
            int closed = 0;
            for (int i = 0; i < 20; i++) {
                var socket = new Socket(LOOPBACK, portB);
                socket.setSoTimeout(1000 * WITHIN_S);
                held.add(socket);
            }
            for (Socket socket : held) {
                // Those that are held say nothing until their time is over, and then all are
                // closed.
                assertEquals(socket.getInputStream().read(), -1);
                closed++;
            }
            assertEquals(closed, 20);
        } finally {
            for (Socket socket : held) {
                socket.close();
            }
        }
        long turnedAway = on(() -> Future.succeededFuture(b.tally().notRead()));
        // Fewer only where the first were over before the last came.
        assertTrue(turnedAway > 0 && turnedAway <= 12, "eight are held: " + turnedAway);
    }

    @Test
    public void noMoreBytesLeaveThanWereAgreed() throws Exception {
        on(
                () -> {
                    for (int i = 0; i < 10_000; i++) {
                        a.send("b", PING);
                    }
                    return Future.succeededFuture();
                });
        int size = new Codec("a").write("b", PING, 1).length;
        assertEquals((long) on(() -> Future.succeededFuture(a.tally().sent())), 100_000L / size);
        now = 1000;
        send(a, "b", PING);
        assertEquals(
                (long) on(() -> Future.succeededFuture(a.tally().sent())), 100_000L / size + 1);
    }

    @Test
    public void aFloodIsReadNoFurtherThanAgreedAndTheNextSecondIsHeard() throws Exception {
        byte[] letter = new Codec("a").write("b", PING, 1);
        try (var socket = new DatagramSocket()) {
            long until = System.nanoTime() + 1_000_000_000L * WITHIN_S;
            // As the system drops some of a flood itself, it goes on until enough has come.
            while (on(() -> Future.succeededFuture(b.tally().notRead())) < 1000
                    && System.nanoTime() < until) {
                for (int i = 0; i < 200; i++) {
                    socket.send(
                            new DatagramPacket(
                                    letter, letter.length, new InetSocketAddress(LOOPBACK, portB)));
                }
            }
            assertEquals((long) on(() -> Future.succeededFuture(b.tally().received())), 5000L);
            now = 1000;
            toB.clear();
            socket.send(
                    new DatagramPacket(
                            letter, letter.length, new InetSocketAddress(LOOPBACK, portB)));
        }
        assertEquals(toB.poll(WITHIN_S, TimeUnit.SECONDS), new Came("a", PING));
    }

    @Test
    public void aVersionThatCantBeReadIsAnsweredOnceWithWhy() throws Exception {
        byte[] letter = new Codec("a").write("b", PING, 1);
        letter[2] = 9;
        var sum = new CRC32C();
        sum.update(letter[2]);
        sum.update(letter, 7, letter.length - 7);
        for (int i = 0; i < 4; i++) {
            letter[3 + i] = (byte) (sum.getValue() >>> (24 - 8 * i));
        }
        try (var socket = new DatagramSocket(new InetSocketAddress(LOOPBACK, 0))) {
            socket.setSoTimeout(1000 * WITHIN_S);
            for (int i = 0; i < 3; i++) {
                socket.send(
                        new DatagramPacket(
                                letter, letter.length, new InetSocketAddress(LOOPBACK, portB)));
            }
            byte[] good = new Codec("a").write("b", PING, 1);
            socket.send(
                    new DatagramPacket(good, good.length, new InetSocketAddress(LOOPBACK, portB)));
            var answer = new DatagramPacket(new byte[1500], 1500);
            socket.receive(answer);
            assertEquals(
                    new String(answer.getData(), 7, answer.getLength() - 7, StandardCharsets.UTF_8),
                    "version 9 can't be read here, 1 to 1 can");
            assertEquals(toB.poll(WITHIN_S, TimeUnit.SECONDS), new Came("a", PING));
            // All three were read before the good letter: had there been a second answer, it would
            // be here.
            socket.setSoTimeout(200);
            expectThrows(SocketTimeoutException.class, () -> socket.receive(answer));
        }
    }

    @Test
    public void aReaderThatFailsEndsNothing() throws Exception {
        int port = free();
        var came = new LinkedBlockingQueue<Came>();
        on(
                () ->
                        new PeerMessaging(
                                        vertx,
                                        new PeerMessagingSettings(
                                                "c",
                                                HERE,
                                                port,
                                                Map.of(
                                                        "a",
                                                        new PeerMessagingSettings.Address(
                                                                HERE, portA)),
                                                1e6),
                                        () -> now,
                                        (from, message) -> {
                                            came.add(new Came(from, message));
                                            throw new IllegalStateException("scripted");
                                        })
                                .open());
        try (var socket = new DatagramSocket()) {
            byte[] letter = new Codec("a").write("c", PING, 1);
            for (int i = 0; i < 2; i++) {
                socket.send(
                        new DatagramPacket(
                                letter, letter.length, new InetSocketAddress(LOOPBACK, port)));
                assertEquals(came.poll(WITHIN_S, TimeUnit.SECONDS), new Came("a", PING));
            }
        }
    }

    @Test
    public void anAddressThatIsTakenIsOneClearError() throws Exception {
        var failed = new CompletableFuture<String>();
        vertx.runOnContext(
                none ->
                        new PeerMessaging(
                                        vertx,
                                        new PeerMessagingSettings("d", HERE, portB, Map.of(), 1e6),
                                        () -> now,
                                        (from, message) -> {})
                                .open()
                                .onComplete(
                                        open -> failed.complete("opened"),
                                        why -> failed.complete(why.getMessage())));
        assertTrue(failed.get(WITHIN_S, TimeUnit.SECONDS).contains("in use"), failed.get());
    }
}
