package stage;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.SocketChannel;
import java.util.function.BooleanSupplier;
import java.util.function.IntFunction;

/**
 * Bad clients: each opens a connection, sends its bytes at full speed, and reads whatever is sent to
 * it, until the gatherer closes the connection or the run ends.
 */
public final class BadClients {
    private static final int READ_BYTES = 64 * 1024;

    private final Stage stage;
    private long sentBytes;
    private long readBytes;
    private int closed;

    /** Creates the clients of a run. */
    public BadClients(Stage stage) {
        this.stage = stage;
    }

    /** Bytes that one client sends, and how often it sends them. */
    public record Sends(byte[] first, byte[] then, int times) {}

    private static final class Sender {
        private final Sends sends;
        private ByteBuffer buffer;
        private int timesLeft;

        Sender(Sends sends) {
            this.sends = sends;
            this.buffer = ByteBuffer.wrap(sends.first());
            this.timesLeft = sends.times();
        }

        boolean isDone() {
            if (!buffer.hasRemaining() && timesLeft > 0) {
                timesLeft--;
                buffer = ByteBuffer.wrap(sends.then());
            }
            return !buffer.hasRemaining();
        }
    }

    /**
     * Runs so many clients at once.
     *
     * @param until ends the run, beside its time
     */
    public void run(
            int port, int clients, IntFunction<Sends> sends, long forMs, BooleanSupplier until)
            throws IOException {
        double endsAtMs = stage.nowMs() + forMs;
        ByteBuffer input = ByteBuffer.allocateDirect(READ_BYTES);
        try (var selector = Selector.open()) {
            for (int i = 0; i < clients; i++) {
                SocketChannel channel = SocketChannel.open();
                channel.connect(new InetSocketAddress("127.0.0.1", port));
                channel.configureBlocking(false);
                channel.register(
                        selector,
                        SelectionKey.OP_READ | SelectionKey.OP_WRITE,
                        new Sender(sends.apply(i)));
            }
            stage.log(clients + " bad clients are connected");
            while (stage.nowMs() < endsAtMs
                    && !until.getAsBoolean()
                    && !selector.keys().isEmpty()) {
                selector.select(100);
                for (SelectionKey key : selector.selectedKeys()) {
                    step(key, input);
                }
                selector.selectedKeys().clear();
            }
            for (SelectionKey key : selector.keys()) {
                key.channel().close();
            }
        }
        stage.log(
                "bad clients: sent "
                        + sentBytes
                        + " bytes, read "
                        + readBytes
                        + " bytes, closed by the gatherer "
                        + closed
                        + " of "
                        + clients);
    }

    private void step(SelectionKey key, ByteBuffer input) throws IOException {
        var channel = (SocketChannel) key.channel();
        var sender = (Sender) key.attachment();
        try {
            if (key.isReadable()) {
                input.clear();
                int read = channel.read(input);
                if (read < 0) {
                    closed++;
                    channel.close();
                    return;
                }
                readBytes += read;
            }
            if (key.isWritable()) {
                if (sender.isDone()) {
                    key.interestOps(SelectionKey.OP_READ);
                } else {
                    sentBytes += channel.write(sender.buffer);
                }
            }
        } catch (IOException e) {
            closed++;
            channel.close();
        }
    }
}
