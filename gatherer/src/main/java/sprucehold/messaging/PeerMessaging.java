package sprucehold.messaging;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.datagram.DatagramPacket;
import io.vertx.core.datagram.DatagramSocket;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetClientOptions;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetServerOptions;
import io.vertx.core.net.NetSocket;
import io.vertx.core.net.SocketAddress;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.DoubleSupplier;
import java.util.logging.Level;
import java.util.logging.Logger;
import sprucehold.cluster.session.ClusterMessage;
import sprucehold.cluster.wire.Codec;
import sprucehold.cluster.wire.Received;

/** Takes letters to other gatherers and hands on those that come. On one event loop. */
public final class PeerMessaging {
    private static final Logger LOG = Logger.getLogger(PeerMessaging.class.getName());

    /**
     * So many datagrams are read in a second, some ten times what a hundred gatherers in trouble
     * send one; the rest is dropped unread. Guards against a flood that would keep the event loop
     * from clients.
     */
    private static final double READ_PER_S = 5000;

    /**
     * Connections that bring long letters, at once; a second that finds no place asks again in two.
     */
    private static final int MOST_STREAMS = 8;

    /** A long letter is through in a moment; who takes longer has gone, or means no letter. */
    private static final int STREAM_S = 2;

    private static final int DIAL_MS = 500;

    /**
     * What isn't a letter, or is of a version that can't be read, is told once of each sender, and
     * of no more than so many.
     */
    private static final int MOST_TOLD = 256;

    /** What came and went. */
    public static final class Tally {
        private long sent;
        private long received;
        private long dropped;
        private long foreign;
        private long notRead;

        /** Letters written. */
        public long sent() {
            return sent;
        }

        /** Letters read. */
        public long received() {
            return received;
        }

        /** Letters that were not written, as too many bytes had been, or no connection came up. */
        public long dropped() {
            return dropped;
        }

        /** What came and was no letter to this gatherer. */
        public long foreign() {
            return foreign;
        }

        /** What came and was not looked at, as too much did. */
        public long notRead() {
            return notRead;
        }
    }

    private final Vertx vertx;
    private final PeerMessagingSettings terms;
    private final Codec codec;
    private final DoubleSupplier clock;
    private final BiConsumer<String, ClusterMessage> reader;
    private final Map<String, Integer> versions = new HashMap<>();
    private final Set<String> told = new HashSet<>();
    private final RateLimiter writes;
    private final RateLimiter reads = new RateLimiter(READ_PER_S);
    private final NetClient client;
    private final Set<NetSocket> streams = new HashSet<>();
    private final Tally tally = new Tally();
    private DatagramSocket datagrams;
    private NetServer server;

    /**
     * @param clock counts milliseconds
     * @param reader takes who wrote a letter, and the letter
     */
    public PeerMessaging(
            Vertx vertx,
            PeerMessagingSettings terms,
            DoubleSupplier clock,
            BiConsumer<String, ClusterMessage> reader) {
        this.vertx = vertx;
        this.terms = terms;
        this.codec = new Codec(terms.self());
        this.clock = clock;
        this.reader = reader;
        this.writes = new RateLimiter(terms.bytesPerSecond());
        this.client =
                vertx.createNetClient(
                        new NetClientOptions().setConnectTimeout(DIAL_MS).setIdleTimeout(STREAM_S));
    }

    /** Opens it; fails in one line if the address can't be had. Returns the port. */
    public Future<Integer> open() {
        datagrams = vertx.createDatagramSocket();
        datagrams.exceptionHandler(failure -> LOG.log(Level.FINE, "peer messaging", failure));
        server =
                vertx.createNetServer(new NetServerOptions().setIdleTimeout(STREAM_S))
                        .connectHandler(this::accepted);
        return datagrams
                .handler(this::came)
                .listen(terms.port(), terms.host())
                .compose(
                        open -> {
                            int port = open.localAddress().port();
                            return server.listen(port, terms.host()).map(listening -> port);
                        });
    }

    public Future<Void> close() {
        if (server == null) {
            return Future.succeededFuture();
        }
        return datagrams.close().eventually(server::close).eventually(client::close);
    }

    public Tally tally() {
        return tally;
    }

    // ---- Out ----

    /** Sends a letter; it may get lost like any datagram, and nobody is told. */
    public void send(String to, ClusterMessage message) {
        PeerMessagingSettings.Address at = terms.peers().get(to);
        byte[] bytes =
                at == null
                        ? null
                        : codec.write(
                                to,
                                message,
                                codec.common(versions.getOrDefault(to, codec.lowest())));
        if (bytes == null || !writes.take(clock.getAsDouble(), bytes.length)) {
            tally.dropped++;
            return;
        }
        tally.sent++;
        if (bytes.length <= Codec.MAX_DATAGRAM_BYTES) {
            datagrams
                    .send(Buffer.buffer(bytes), at.port(), at.host())
                    .onFailure(failure -> LOG.log(Level.FINE, "peer messaging", failure));
        } else {
            client.connect(SocketAddress.inetSocketAddress(at.port(), at.host()))
                    .onComplete(
                            socket -> {
                                socket.exceptionHandler(
                                        failure -> LOG.log(Level.FINE, "peer messaging", failure));
                                socket.write(
                                                Buffer.buffer(4 + bytes.length)
                                                        .appendInt(bytes.length)
                                                        .appendBytes(bytes))
                                        .onComplete(written -> socket.close());
                            },
                            failure -> tally.dropped++);
        }
    }

    // ---- In ----

    private void came(DatagramPacket packet) {
        if (!reads.take(clock.getAsDouble(), 1)) {
            tally.notRead++;
            return;
        }
        SocketAddress sender = packet.sender();
        read(
                packet.data().getBytes(),
                sender.toString(),
                refusal ->
                        datagrams
                                .send(refusal, sender.port(), sender.host())
                                .onFailure(none -> {}));
    }

    private void accepted(NetSocket socket) {
        if (streams.size() >= MOST_STREAMS) {
            tally.notRead++;
            socket.close();
            return;
        }
        streams.add(socket);
        // Counted from the first byte to the last: one that trickles must not hold its place.
        long late = vertx.setTimer(1000L * STREAM_S, none -> socket.close());
        var bytes = Buffer.buffer();
        socket.exceptionHandler(failure -> LOG.log(Level.FINE, "peer messaging", failure));
        socket.closeHandler(
                none -> {
                    vertx.cancelTimer(late);
                    streams.remove(socket);
                });
        socket.handler(
                more -> {
                    bytes.appendBuffer(more);
                    int length = bytes.length() < 4 ? 0 : bytes.getInt(0);
                    if (length < 0
                            || length > Codec.MAX_STREAM_BYTES
                            || bytes.length() > 4 + Codec.MAX_STREAM_BYTES) {
                        tally.foreign++;
                        socket.close();
                    } else if (bytes.length() >= 4 && bytes.length() >= 4 + length) {
                        socket.handler(null);
                        read(
                                bytes.getBytes(4, 4 + length),
                                socket.remoteAddress().toString(),
                                refusal -> {});
                        socket.close();
                    }
                });
    }

    private void read(byte[] bytes, String sender, Consumer<Buffer> answer) {
        Received received = codec.read(bytes);
        if (received instanceof Received.Decoded letter
                && terms.peers().containsKey(letter.from())) {
            tally.received++;
            versions.put(letter.from(), letter.highestVersion());
            try {
                reader.accept(letter.from(), letter.message());
            } catch (RuntimeException e) {
                LOG.log(
                        Level.SEVERE,
                        "panic: a letter of " + letter.from() + " could not be taken",
                        e);
            }
            return;
        }
        tally.foreign++;
        if (received instanceof Received.UnknownVersion unknown) {
            if (first(sender)) {
                LOG.warning(
                        "letters of version "
                                + unknown.version()
                                + " from "
                                + sender
                                + " can't be read, "
                                + codec.lowest()
                                + " to "
                                + codec.highest()
                                + " can; nothing is shared with whoever sends them");
                answer.accept(Buffer.buffer(codec.refusal(unknown.version())));
            }
        } else if (received instanceof Received.VersionRefused refused) {
            if (first("refused by " + sender)) {
                LOG.warning(
                        "a gatherer at "
                                + sender
                                + " can't read the letters of this one: "
                                + refused.reason());
            }
        } else if (LOG.isLoggable(Level.FINE)) {
            LOG.fine("not a letter from a known gatherer, from " + sender + ": " + received);
        }
    }

    private boolean first(String what) {
        return told.size() < MOST_TOLD && told.add(what);
    }
}
