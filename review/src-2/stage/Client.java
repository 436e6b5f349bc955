package stage;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.concurrent.atomic.AtomicLong;

/** A client's connection to a gatherer. */
public final class Client implements AutoCloseable {
    private static final AtomicLong IDS = new AtomicLong(0x9b1f03aa00000000L);

    /**
     * Whole answer.
     *
     * @param keepsOpen whether the gatherer keeps the connection
     */
    public record Answer(int status, String body, boolean keepsOpen) {}

    private final Socket socket;
    private final InputStream in;

    /** Connects to a gatherer. */
    public Client(int port) throws IOException {
        socket = new Socket("127.0.0.1", port);
        socket.setTcpNoDelay(true);
        in = new BufferedInputStream(socket.getInputStream());
    }

    /** Returns a request id that is used once. */
    public static String freshId() {
        return String.format(Locale.ROOT, "%016x", IDS.incrementAndGet());
    }

    /** Returns the body of a query whose parts weigh the same. */
    public static String body(int... buckets) {
        var parts = new StringBuilder();
        for (int bucket : buckets) {
            parts.append(parts.length() > 0 ? "," : "")
                    .append("{\"bucket\":")
                    .append(bucket)
                    .append(",\"part\":")
                    .append(String.format(Locale.ROOT, "%.6f", 1.0 / buckets.length))
                    .append('}');
        }
        return "{\"buckets\":[" + parts + "],\"body\":\"c41e77d0\"}";
    }

    /** Returns a request of the protocol page's form. */
    public static byte[] request(String queryClass, String id, long deadlineMs, int... buckets) {
        String body = body(buckets);
        return Bytes.ascii(
                "POST /"
                        + queryClass
                        + " HTTP/1.1\r\nHost: service.internal\r\nX-Request-Id: "
                        + id
                        + "\r\nX-Class: "
                        + queryClass
                        + "\r\nX-Tenant: kempen-spaarbank\r\nX-Deadline-Ms: "
                        + deadlineMs
                        + "\r\nContent-Length: "
                        + body.length()
                        + "\r\n\r\n"
                        + body);
    }

    /** Sends bytes. */
    public void send(byte[] bytes) throws IOException {
        socket.getOutputStream().write(bytes);
        socket.getOutputStream().flush();
    }

    /**
     * Reads one answer.
     *
     * @return the answer; null if the connection ended, or the time ran out, before the answer was
     *     whole
     */
    public Answer read(long withinMs) {
        long untilNanos = System.nanoTime() + withinMs * 1_000_000;
        try {
            String status = line(untilNanos);
            int length = 0;
            boolean keepsOpen = true;
            for (String head = line(untilNanos); !head.isEmpty(); head = line(untilNanos)) {
                String lower = head.toLowerCase(Locale.ROOT);
                if (lower.startsWith("content-length:")) {
                    length = Integer.parseInt(lower.substring(15).strip());
                } else if (lower.equals("connection: close")) {
                    keepsOpen = false;
                }
            }
            var body = new ByteArrayOutputStream();
            while (body.size() < length) {
                body.write(next(untilNanos));
            }
            return new Answer(
                    Integer.parseInt(status.split(" ")[1]),
                    body.toString(StandardCharsets.UTF_8),
                    keepsOpen);
        } catch (IOException e) {
            return null;
        }
    }

    private String line(long untilNanos) throws IOException {
        var line = new StringBuilder();
        for (int next = next(untilNanos); next != '\n'; next = next(untilNanos)) {
            if (next != '\r') {
                line.append((char) next);
            }
        }
        return line.toString();
    }

    private int next(long untilNanos) throws IOException {
        long leftMs = (untilNanos - System.nanoTime()) / 1_000_000;
        if (leftMs <= 0) {
            throw new SocketTimeoutException();
        }
        socket.setSoTimeout((int) leftMs);
        int next = in.read();
        if (next < 0) {
            throw new IOException("end of the connection");
        }
        return next;
    }

    @Override
    public void close() {
        try {
            socket.close();
        } catch (IOException e) {
            // It is closed.
        }
    }
}
