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
 * A shard server of a test: it keeps the ids of all queries of which a part came, and ends each
 * part as it is told.
 */
final class RecordingShardServer implements AutoCloseable {
    private static final int LONGEST_FRAME = 1 << 20;

    /**
     * A part that came.
     *
     * @param toldMs how long its answer is waited for, as the frame says
     * @param cameNanos when it came, on the clock of {@link System#nanoTime}
     */
    record Part(String id, double toldMs, long cameNanos, OutputStream to) {
        String query() {
            return id.substring(0, id.indexOf('.'));
        }

        /** Ends it: {@code hit}, {@code fault} or {@code overload}. */
        void end(String as) throws IOException {
            byte[] frame =
                    ("E" + id + " " + as + " 0 -\n" + (as.equals("hit") ? "value" : ""))
                            .getBytes(StandardCharsets.US_ASCII);
            synchronized (to) {
                to.write(new byte[] {(byte) frame.length, (byte) (frame.length >> 8), 0, 0});
                to.write(frame);
                to.flush();
            }
        }
    }

    private final ServerSocket listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    private final List<Part> came = new ArrayList<>();
    private final List<Part> kept = new ArrayList<>();
    private final Function<String, String> ends;

    /**
     * @param ends how the parts of a query end by its id; null for one whose parts are kept until
     *     the test ends them
     */
    RecordingShardServer(Function<String, String> ends) throws IOException {
        this.ends = ends;
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
                                // The other side, or the test, has ended.
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
            if (length < 1 || length > LONGEST_FRAME) {
                throw new IOException("a frame of " + length + " bytes");
            }
            byte[] frame = in.readNBytes(length);
            if (frame[0] == 'A') {
                call(
                        new String(frame, 1, length - 1, StandardCharsets.US_ASCII),
                        connection.getOutputStream());
            }
        }
    }

    private void call(String lines, OutputStream to) throws IOException {
        int at = 0;
        while (at < lines.length()) {
            int end = lines.indexOf('\n', at);
            String[] words = lines.substring(at, end).split(" ", -1);
            at = end + 1 + Integer.parseInt(words[3]);
            take(new Part(words[0], toldMs(words[2]), System.nanoTime(), to));
        }
    }

    private static double toldMs(String options) {
        return Arrays.stream(options.split(",", -1))
                .filter(option -> option.startsWith("d="))
                .findFirst()
                .map(option -> Double.parseDouble(option.substring(2)))
                .orElseThrow();
    }

    private void take(Part part) throws IOException {
        String as = ends.apply(part.query());
        synchronized (this) {
            came.add(part);
            if (as == null) {
                kept.add(part);
            }
        }
        if (as != null) {
            part.end(as);
        }
    }

    int port() {
        return listener.getLocalPort();
    }

    /** The parts that came, one for each attempt. */
    synchronized List<Part> came() {
        return List.copyOf(came);
    }

    /** The parts that wait for the test to end them. */
    synchronized List<Part> kept() {
        return List.copyOf(kept);
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }
}
