package sprucehold.rig.link;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.datagram.DatagramSocket;
import java.util.List;
import java.util.function.Supplier;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Datagrams that nobody wants, so many a second: noise, noise under a sound head, and letters of
 * before once more or cut short.
 */
public final class Flood implements AutoCloseable {
    private static final int EVERY_MS = 5;
    private static final int MOST_BYTES = 1200;

    private final Vertx vertx;
    private final DatagramSocket socket;
    private final UniformRandomProvider chance;
    private final Supplier<List<Buffer>> old;
    private final long timer;
    private double due;

    /**
     * @param old letters that passed before
     */
    public Flood(
            Vertx vertx,
            Wires wires,
            String host,
            int port,
            double perS,
            Supplier<List<Buffer>> old) {
        this.vertx = vertx;
        this.socket = vertx.createDatagramSocket();
        this.chance = wires.chance();
        this.old = old;
        this.timer =
                vertx.setPeriodic(
                        EVERY_MS,
                        id -> {
                            for (due += perS * EVERY_MS / 1000; due >= 1; due--) {
                                socket.send(datagram(), port, host);
                            }
                        });
    }

    private Buffer datagram() {
        List<Buffer> letters = old.get();
        int kind = chance.nextInt(4);
        if (kind >= 2 && !letters.isEmpty()) {
            Buffer letter = letters.get(chance.nextInt(letters.size()));
            return kind == 2 ? letter : letter.getBuffer(0, 1 + chance.nextInt(letter.length()));
        }
        byte[] bytes = new byte[8 + chance.nextInt(MOST_BYTES)];
        chance.nextBytes(bytes);
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
