package sprucehold.command;

import java.io.DataInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.function.Function;

/**
 * Shard server for tests. It records every part that it receives, and completes each part with the
 * outcome that the test chooses.
 */
final class RecordingShardServer implements AutoCloseable {
    private static final int MAX_FRAME_BYTES = 1 << 20;

    /**
     * A part that was received.
     *
     * @param timeoutMs how long the gatherer waits for its answer, as stated in the frame
     * @param receivedNanos the time of its receipt, on the clock of {@link System#nanoTime}
     */
    record Part(String id, double timeoutMs, long receivedNanos, OutputStream output) {
        String query() {
            return id.substring(0, id.indexOf('.'));
        }

        /** Sends its outcome: {@code hit}, {@code fault} or {@code overload}. */
        void complete(String outcome) throws IOException {
            byte[] frame =
                    ("E" + id + " " + outcome + " 0 -\n" + (outcome.equals("hit") ? "value" : ""))
                            .getBytes(StandardCharsets.US_ASCII);
            synchronized (output) {
                output.write(new byte[] {(byte) frame.length, (byte) (frame.length >> 8), 0, 0});
                output.write(frame);
                output.flush();
            }
        }
    }

    private final ServerSocket listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    private final List<Part> received = new ArrayList<>();
    private final List<Part> pending = new ArrayList<>();
    private final Function<String, String> outcomeOf;

    /**
     * @param outcomeOf returns the outcome of the parts of a query by the query's id; null for
     *     parts that stay pending until the test completes them
     */
    RecordingShardServer(Function<String, String> outcomeOf) throws IOException {
        this.outcomeOf = outcomeOf;
        daemon(
                () -> {
                    while (true) {
                        Socket connection = listener.accept();
                        daemon(() -> serve(connection));
                    }
                });
    }

    private interface Work {
        void run() throws IOException;
    }

    private static void daemon(Work work) {
        var thread =
                new Thread(
                        () -> {
                            try {
                                work.run();
                            } catch (IOException e) {
                                // The gatherer has closed the connection, or the test has ended.
                            }
                        },
                        "shard server");
        thread.setDaemon(true);
        thread.start();
    }

    private void serve(Socket connection) throws IOException {
        var in = new DataInputStream(connection.getInputStream());
        while (true) {
            int length = Integer.reverseBytes(in.readInt());
            if (length < 1 || length > MAX_FRAME_BYTES) {
                throw new IOException("a frame of " + length + " bytes");
            }
            byte[] frame = in.readNBytes(length);
            if (frame[0] == 'A') {
                receiveCall(
                        new String(frame, 1, length - 1, StandardCharsets.US_ASCII),
                        connection.getOutputStream());
            }
        }
    }

    private void receiveCall(String lines, OutputStream output) throws IOException {
        int at = 0;
        while (at < lines.length()) {
            int end = lines.indexOf('\n', at);
            String[] words = lines.substring(at, end).split(" ", -1);
            at = end + 1 + Integer.parseInt(words[3]);
            receive(new Part(words[0], timeoutMs(words[2]), System.nanoTime(), output));
        }
    }

    private static double timeoutMs(String options) {
        return Arrays.stream(options.split(",", -1))
                .filter(option -> option.startsWith("d="))
                .findFirst()
                .map(option -> Double.parseDouble(option.substring(2)))
                .orElseThrow();
    }

    private void receive(Part part) throws IOException {
        String outcome = outcomeOf.apply(part.query());
        synchronized (this) {
            received.add(part);
            if (outcome == null) {
                pending.add(part);
            }
        }
        if (outcome != null) {
            part.complete(outcome);
        }
    }

    int port() {
        return listener.getLocalPort();
    }

    /** Returns the parts that were received, one for each attempt. */
    synchronized List<Part> received() {
        return List.copyOf(received);
    }

    /** Returns the parts that the test has to complete. */
    synchronized List<Part> pending() {
        return List.copyOf(pending);
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }
}
