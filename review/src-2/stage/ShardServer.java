package stage;

import java.io.BufferedInputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/**
 * Sound shard server: two cores, a fixed work for each part, and a queue. It answers each part with
 * a value of its own.
 */
public final class ShardServer {
    private static final int CORES = 2;

    /**
     * A part that arrived.
     *
     * @param atMs time at which the last byte of its frame arrived
     * @param id id of the part
     * @param leftMs time that its gatherer will wait
     * @param text text of its query
     */
    public record Part(double atMs, String id, int shard, long leftMs, String text) {}

    private final Stage stage;
    private final String name;
    private final String zone;
    private final int group;
    private final long workMs;
    private final ServerSocket listener;
    private final List<Part> parts = new ArrayList<>();
    private final ExecutorService cores =
            Executors.newFixedThreadPool(
                    CORES,
                    work -> {
                        var thread = new Thread(work, "core");
                        thread.setDaemon(true);
                        return thread;
                    });

    /** Starts a server that works on each part for so long. */
    public ShardServer(Stage stage, String name, String zone, int group, long workMs)
            throws IOException {
        this.stage = stage;
        this.name = name;
        this.zone = zone;
        this.group = group;
        this.workMs = workMs;
        this.listener = new ServerSocket(0, 256, InetAddress.getByName("127.0.0.1"));
        Threads.start(name, this::accept);
    }

    /** Starts so many servers, dealt to the groups in turn and to three zones. */
    public static List<ShardServer> fleet(Stage stage, int servers, int groups, long workMs)
            throws IOException {
        var fleet = new ArrayList<ShardServer>();
        for (int i = 0; i < servers; i++) {
            String zone = "abc".substring(i / groups % 3, i / groups % 3 + 1);
            fleet.add(new ShardServer(stage, "s-" + i, zone, i % groups, workMs));
        }
        return fleet;
    }

    /** Returns the name in the list. */
    public String name() {
        return name;
    }

    String zone() {
        return zone;
    }

    int group() {
        return group;
    }

    int port() {
        return listener.getLocalPort();
    }

    /** Returns the parts that arrived, in order. */
    public List<Part> parts() {
        synchronized (parts) {
            return List.copyOf(parts);
        }
    }

    /** Returns the value that this server gives for a part. */
    public static String valueOf(String partId) {
        return "value of " + partId;
    }

    private void accept() throws IOException {
        while (true) {
            Socket socket = listener.accept();
            socket.setTcpNoDelay(true);
            Threads.start(name + " link", () -> serve(socket));
        }
    }

    private void serve(Socket socket) throws IOException {
        try (socket) {
            var in = new DataInputStream(new BufferedInputStream(socket.getInputStream()));
            OutputStream out = socket.getOutputStream();
            while (true) {
                byte[] frame = new byte[Integer.reverseBytes(in.readInt())];
                in.readFully(frame);
                switch (frame[0]) {
                    case 'A' -> call(frame, out);
                    case 'C', 'D' -> answer(out, (char) frame[0] + "hit");
                    default -> {}
                }
            }
        }
    }

    private void call(byte[] frame, OutputStream out) {
        double atMs = stage.nowMs();
        int at = 1;
        while (at < frame.length) {
            int lineEnd = at;
            while (frame[lineEnd] != '\n') {
                lineEnd++;
            }
            String[] line =
                    new String(frame, at, lineEnd - at, StandardCharsets.UTF_8).split(" ", -1);
            int length = Integer.parseInt(line[3]);
            String text = new String(frame, lineEnd + 1, length, StandardCharsets.UTF_8);
            long leftMs = Long.parseLong(line[2].split("[=,]")[1]);
            var part = new Part(atMs, line[0], Integer.parseInt(line[1]), leftMs, text);
            synchronized (parts) {
                parts.add(part);
            }
            cores.execute(() -> run(part, out));
            at = lineEnd + 1 + length;
        }
    }

    private void run(Part part, OutputStream out) {
        try {
            Thread.sleep(workMs);
            answer(out, "E" + part.id + " hit 5 -\n" + valueOf(part.id));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (IOException e) {
            // The gatherer has gone.
        }
    }

    private static void answer(OutputStream out, String frame) throws IOException {
        byte[] content = frame.getBytes(StandardCharsets.UTF_8);
        byte[] bytes =
                ByteBuffer.allocate(4 + content.length)
                        .order(ByteOrder.LITTLE_ENDIAN)
                        .putInt(content.length)
                        .put(content)
                        .array();
        synchronized (out) {
            out.write(bytes);
        }
    }
}
