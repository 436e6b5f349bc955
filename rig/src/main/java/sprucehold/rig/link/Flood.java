package sprucehold.rig.link;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.datagram.DatagramSocket;
import java.util.List;
import java.util.function.Supplier;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Sends unwanted datagrams to one address at a constant rate. There are four kinds: random bytes,
 * random bytes after a valid header, earlier messages again, and truncated earlier messages.
 */
public final class Flood implements AutoCloseable {
    private static final int INTERVAL_MS = 5;
    private static final int MAX_RANDOM_BYTES = 1200;

    private final Vertx vertx;
    private final DatagramSocket socket;
    private final UniformRandomProvider random;
    private final Supplier<List<Buffer>> earlier;
    private final long timer;
    private double unsent;

    /**
     * @param perS datagrams per second
     * @param earlier returns messages that were forwarded before
     */
    public Flood(
            Vertx vertx,
            ShapedConnections connections,
            String host,
            int port,
            double perS,
            Supplier<List<Buffer>> earlier) {
        this.vertx = vertx;
        this.socket = vertx.createDatagramSocket();
        this.random = connections.random();
        this.earlier = earlier;
        this.timer =
                vertx.setPeriodic(
                        INTERVAL_MS,
                        id -> {
                            for (unsent += perS * INTERVAL_MS / 1000; unsent >= 1; unsent--) {
                                socket.send(datagram(), port, host);
                            }
                        });
    }

    private Buffer datagram() {
        List<Buffer> messages = earlier.get();
        int kind = random.nextInt(4);
        if (kind >= 2 && !messages.isEmpty()) {
            Buffer message = messages.get(random.nextInt(messages.size()));
            return kind == 2 ? message : message.getBuffer(0, 1 + random.nextInt(message.length()));
        }
        byte[] bytes = new byte[8 + random.nextInt(MAX_RANDOM_BYTES)];
        random.nextBytes(bytes);
        if (kind == 1) {
            bytes[0] = 'S';
            bytes[1] = 'G';
            bytes[2] = 1;
        }
        return Buffer.buffer(bytes);
    }

    @Override
    public void close() {
        vertx.cancelTimer(timer);
        socket.close();
    }
}
