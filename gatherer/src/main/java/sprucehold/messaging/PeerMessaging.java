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

/**
 * Sends messages to other gatherers and passes received messages to a handler. Messages that fit
 * into a datagram are sent over UDP, longer ones over TCP. All methods must be called on one event
 * loop.
 */
public final class PeerMessaging {
    private static final Logger LOG = Logger.getLogger(PeerMessaging.class.getName());

    /**
     * Maximum number of datagrams read per second. It is about ten times the rate at which a
     * hundred gatherers send to one gatherer during failures. Further datagrams are dropped unread,
     * so that a flood doesn't keep the event loop from serving clients.
     */
    private static final double MAX_DATAGRAMS_PER_SECOND = 5000;

    /**
     * Maximum number of concurrent incoming connections for long messages. The message of a
     * rejected connection is lost. Its sender compares membership tables again two seconds later,
     * so the tables are exchanged then if they still differ.
     */
    private static final int MAX_STREAMS = 8;

    /**
     * Time after which a connection is closed, in seconds. For an incoming connection it counts
     * from the accept, for an outgoing one from the last traffic. A long message takes far less
     * time.
     */
    private static final int STREAM_TIMEOUT_S = 2;

    /** Connect timeout for long messages, in milliseconds. */
    private static final int CONNECT_TIMEOUT_MS = 500;

    /**
     * Maximum number of senders for which an incompatible version is logged; each is logged once.
     */
    private static final int MAX_LOGGED = 256;

    /** Numbers of messages sent, received and dropped since the start. */
    public static final class Counters {
        private long sent;
        private long received;
        private long dropped;
        private long foreign;
        private long notRead;

        /**
         * Returns the number of messages sent, including long messages for which no connection was
         * established afterwards.
         */
        public long sent() {
            return sent;
        }

        /** Returns the number of messages received and decoded. */
        public long received() {
            return received;
        }

        /**
         * Returns the number of messages not sent, because the limit on bytes was reached, the
         * recipient is unknown or no connection was established.
         */
        public long dropped() {
            return dropped;
        }

        /**
         * Returns the number of datagrams and connections that contained no message from a known
         * gatherer to this one.
         */
        public long foreign() {
            return foreign;
        }

        /**
         * Returns the number of datagrams and connections dropped unread because a limit was
         * reached.
         */
        public long notRead() {
            return notRead;
        }
    }

    private final Vertx vertx;
    private final PeerMessagingSettings settings;
    private final Codec codec;
    private final DoubleSupplier clock;
    private final BiConsumer<String, ClusterMessage> messageHandler;
    private final Map<String, Integer> peerVersions = new HashMap<>();
    private final Set<String> loggedSenders = new HashSet<>();
    private final RateLimiter sendLimit;
    private final RateLimiter receiveLimit = new RateLimiter(MAX_DATAGRAMS_PER_SECOND);
    private final NetClient client;
    private final Set<NetSocket> streams = new HashSet<>();
    private final Counters counters = new Counters();
    private DatagramSocket datagrams;
    private NetServer server;

    /**
     * @param clock returns the time in milliseconds
     * @param messageHandler receives the name of the sender and the message
     */
    public PeerMessaging(
            Vertx vertx,
            PeerMessagingSettings settings,
            DoubleSupplier clock,
            BiConsumer<String, ClusterMessage> messageHandler) {
        this.vertx = vertx;
        this.settings = settings;
        this.codec = new Codec(settings.self());
        this.clock = clock;
        this.messageHandler = messageHandler;
        this.sendLimit = new RateLimiter(settings.bytesPerSecond());
        this.client =
                vertx.createNetClient(
                        new NetClientOptions()
                                .setConnectTimeout(CONNECT_TIMEOUT_MS)
                                .setIdleTimeout(STREAM_TIMEOUT_S));
    }

    /**
     * Starts listening; the future returns the port. If the address can't be bound, the future
     * fails with a message of one line.
     */
    public Future<Integer> open() {
        datagrams = vertx.createDatagramSocket();
        datagrams.exceptionHandler(
                failure -> LOG.log(Level.FINE, "peer messaging: datagram socket failed", failure));
        server =
                vertx.createNetServer(new NetServerOptions().setIdleTimeout(STREAM_TIMEOUT_S))
                        .connectHandler(this::streamAccepted);
        return datagrams
                .handler(this::datagramReceived)
                .listen(settings.port(), settings.host())
                .compose(
                        open -> {
                            int port = open.localAddress().port();
                            return server.listen(port, settings.host()).map(listening -> port);
                        });
    }

    /** Stops listening. */
    public Future<Void> close() {
        if (server == null) {
            return Future.succeededFuture();
        }
        return datagrams.close().eventually(server::close).eventually(client::close);
    }

    /** Returns the counters of messages. */
    public Counters counters() {
        return counters;
    }

    /** Sends a message. The message may be lost, and the caller isn't notified of a loss. */
    public void send(String to, ClusterMessage message) {
        PeerMessagingSettings.Address address = settings.peers().get(to);
        byte[] bytes =
                address == null
                        ? null
                        : codec.write(
                                to,
                                message,
                                codec.commonVersion(
                                        peerVersions.getOrDefault(to, codec.lowestVersion())));
        if (bytes == null || !sendLimit.tryTake(clock.getAsDouble(), bytes.length)) {
            counters.dropped++;
            return;
        }
        counters.sent++;
        if (bytes.length <= Codec.MAX_DATAGRAM_BYTES) {
            datagrams
                    .send(Buffer.buffer(bytes), address.port(), address.host())
                    .onFailure(
                            failure ->
                                    LOG.log(
                                            Level.FINE,
                                            "peer messaging: sending a datagram failed",
                                            failure));
        } else {
            client.connect(SocketAddress.inetSocketAddress(address.port(), address.host()))
                    .onComplete(
                            socket -> {
                                socket.exceptionHandler(
                                        failure ->
                                                LOG.log(
                                                        Level.FINE,
                                                        "peer messaging: outgoing connection"
                                                                + " failed",
                                                        failure));
                                socket.write(
                                                Buffer.buffer(4 + bytes.length)
                                                        .appendInt(bytes.length)
                                                        .appendBytes(bytes))
                                        .onComplete(written -> socket.close());
                            },
                            failure -> counters.dropped++);
        }
    }

    private void datagramReceived(DatagramPacket packet) {
        if (!receiveLimit.tryTake(clock.getAsDouble(), 1)) {
            counters.notRead++;
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

    private void streamAccepted(NetSocket socket) {
        if (streams.size() >= MAX_STREAMS) {
            counters.notRead++;
            socket.close();
            return;
        }
        streams.add(socket);
        // The timeout covers the whole message, so that a sender that trickles bytes can't occupy
        // one of the connections for longer.
        long timeout = vertx.setTimer(1000L * STREAM_TIMEOUT_S, none -> socket.close());
        var bytes = Buffer.buffer();
        socket.exceptionHandler(
                failure ->
                        LOG.log(Level.FINE, "peer messaging: incoming connection failed", failure));
        socket.closeHandler(
                none -> {
                    vertx.cancelTimer(timeout);
                    streams.remove(socket);
                });
        socket.handler(
                chunk -> {
                    bytes.appendBuffer(chunk);
                    int length = bytes.length() < 4 ? 0 : bytes.getInt(0);
                    if (length < 0
                            || length > Codec.MAX_STREAM_BYTES
                            || bytes.length() > 4 + Codec.MAX_STREAM_BYTES) {
                        counters.foreign++;
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

    private void read(byte[] bytes, String sender, Consumer<Buffer> refusalSender) {
        Received received = codec.read(bytes);
        if (received instanceof Received.Decoded decoded
                && settings.peers().containsKey(decoded.from())) {
            counters.received++;
            peerVersions.put(decoded.from(), decoded.highestVersion());
            try {
                messageHandler.accept(decoded.from(), decoded.message());
            } catch (RuntimeException e) {
                LOG.log(
                        Level.SEVERE,
                        "panic: the handler of a message from " + decoded.from() + " failed",
                        e);
            }
            return;
        }
        counters.foreign++;
        if (received instanceof Received.UnknownVersion unknown) {
            if (isFirst(sender)) {
                LOG.warning(
                        "messages of version "
                                + unknown.version()
                                + " from "
                                + sender
                                + " can't be read, only versions "
                                + codec.lowestVersion()
                                + " to "
                                + codec.highestVersion()
                                + "; nothing is shared with the sender");
                refusalSender.accept(Buffer.buffer(codec.encodeRefusal(unknown.version())));
            }
        } else if (received instanceof Received.VersionRefused refused) {
            if (isFirst("refused by " + sender)) {
                LOG.warning(
                        "the gatherer at "
                                + sender
                                + " can't read the messages of this gatherer: "
                                + refused.reason());
            }
        } else if (LOG.isLoggable(Level.FINE)) {
            LOG.fine(
                    "received bytes from "
                            + sender
                            + " that are no message from a known gatherer: "
                            + received);
        }
    }

    private boolean isFirst(String key) {
        return loggedSenders.size() < MAX_LOGGED && loggedSenders.add(key);
    }
}
