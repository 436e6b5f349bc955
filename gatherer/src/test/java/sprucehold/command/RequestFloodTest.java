package sprucehold.command;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.LongFunction;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Guards against late answers to other clients, and against memory that grows without bound, while
 * one client sends requests on one connection at full speed. The gatherer runs with the JVM options
 * of its deployment.
 */
public class RequestFloodTest {
    private static final Path JVM_OPTIONS = Path.of("..", "deploy", "serve.options");

    private static final long FLOOD_MS = 4000;

    /** Time within which a usual query is answered; a third of its deadline. */
    private static final long ANSWER_MS = 1000;

    private static final String SETTINGS =
            "{\"classes\":[{\"name\":\"q\",\"semantics\":\"retryable\",\"aimMs\":2000,\"giveUpMs\":3000}],"
                    + "\"familyInfo\":{\"ranges\":16,\"sets\":1},"
                    + "\"limits\":{\"dialTimeoutMs\":250,\"idleCloseMs\":15000,"
                    + "\"streamsPerConn\":64,\"sendCap\":4}}";

    private static final String BODY = "{\"buckets\":[{\"bucket\":0,\"part\":1}],\"body\":\"b\"}";

    private RecordingShardServer server;
    private ServeProcess gatherer;

    @BeforeMethod
    public void open() throws IOException {
        server = new RecordingShardServer(query -> "hit");
        gatherer = new ServeProcess(SETTINGS, List.of(server), ServeProcess.optionsOf(JVM_OPTIONS));
    }

    @AfterMethod(alwaysRun = true)
    public void close() throws IOException {
        gatherer.close();
        server.close();
    }

    private static String post(String path, String headers, String body) {
        return "POST "
                + path
                + " HTTP/1.1\r\nHost: h\r\n"
                + headers
                + "Content-Length: "
                + body.length()
                + "\r\n\r\n"
                + body;
    }

    private static String query(String id, String tenant, String body) {
        return post(
                "/q",
                "X-Request-Id: "
                        + id
                        + "\r\nX-Class: q\r\nX-Deadline-Ms: 3000\r\nX-Tenant: "
                        + tenant
                        + "\r\n",
                body);
    }

    private static String keys(long from, int count, int length) {
        var json = new StringBuilder("{");
        for (long key = from; key < from + count; key++) {
            json.append('"').append(key).append("k".repeat(length)).append("\":1,");
        }
        return json.append("\"z\":1}").toString();
    }

    @DataProvider
    Object[][] floods() {
        return new Object[][] {
            flood("health checks", true, i -> "GET /up HTTP/1.1\r\nHost: h\r\n\r\n"),
            flood("health checks unread", false, i -> "GET /up HTTP/1.1\r\nHost: h\r\n\r\n"),
            flood("health checks of HTTP/1.0", true, i -> keepAlive("GET /up HTTP/1.0\r\n")),
            flood("new query classes", true, i -> post("/n" + i, "", BODY)),
            flood("new header names", true, i -> "GET /up HTTP/1.1\r\nN" + i + ": v\r\n\r\n"),
            flood("new methods", true, i -> "M" + i + " /up HTTP/1.1\r\nHost: h\r\n\r\n"),
            flood("no id", true, i -> post("/q", "X-Class: q\r\n", BODY)),
            flood("no JSON", true, i -> query("f" + i, "t", "{")),
            flood("new short keys", true, i -> query("f" + i, "t", keys(i * 100, 100, 20))),
            flood("new long keys", true, i -> query("f" + i, "t", keys(i * 8, 8, 7900))),
            flood("one new key", true, i -> query("f" + i, "t", keys(i, 1, 45_000))),
            flood("new tenants and ids", true, i -> query("f" + i, "t" + i, BODY)),
            flood("new tenants unread", false, i -> query("f" + i, "t" + i, BODY)),
            flood("unreadable requests", true, i -> "noise\r\n\r\n"),
            flood("blank lines", true, i -> "\r\n".repeat(2000)),
            flood("bytes as chunks", true, RequestFloodTest::byteChunks),
        };
    }

    private static Object[] flood(String name, boolean reads, LongFunction<String> request) {
        return new Object[] {name, reads, request};
    }

    private static String keepAlive(String line) {
        return line + "Connection: keep-alive\r\n\r\n";
    }

    private static String byteChunks(long number) {
        return "POST /q HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
                + "1\r\nx\r\n".repeat(8000)
                + "0\r\n\r\n";
    }

    @Test(dataProvider = "floods")
    public void floodOnOneConnectionLeavesOtherClientsTheirAnswers(
            String name, boolean reads, LongFunction<String> request) throws Exception {
        assertEquals(usualQuery("before"), "HTTP/1.1 200 OK");
        long endsAtNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(FLOOD_MS);
        var flood = new Thread(() -> flood(reads, request, endsAtNanos), "flood");
        flood.setDaemon(true);
        flood.start();
        long longestMs = 0;
        for (int i = 0; System.nanoTime() < endsAtNanos; i++) {
            gatherer.assertAlive();
            long askedAtNanos = System.nanoTime();
            String status = usualQuery("during" + i);
            long tookMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - askedAtNanos);
            assertTrue(status != null && status.matches("HTTP/1.1 (200|503) .*"), name + status);
            longestMs = Math.max(longestMs, tookMs);
            Thread.sleep(20);
        }
        assertTrue(longestMs < ANSWER_MS, name + ": an answer after " + longestMs + " ms");
        flood.join(TimeUnit.SECONDS.toMillis(30));
        gatherer.assertAlive();
        assertEquals(usualQuery("after"), "HTTP/1.1 200 OK", gatherer.log().toString());
    }

    /** Sends requests on one connection; opens another where the gatherer closes it. */
    private void flood(boolean reads, LongFunction<String> request, long endsAtNanos) {
        long number = 0;
        while (System.nanoTime() < endsAtNanos) {
            try (Socket socket = connect()) {
                if (reads) {
                    readInBackground(socket, endsAtNanos);
                } else {
                    closeAt(socket, endsAtNanos);
                }
                while (System.nanoTime() < endsAtNanos) {
                    byte[] bytes = request.apply(number++).getBytes(StandardCharsets.ISO_8859_1);
                    socket.getOutputStream().write(bytes);
                }
            } catch (IOException e) {
                // The gatherer has closed the connection.
            }
        }
    }

    private static void readInBackground(Socket socket, long endsAtNanos) {
        var reader =
                new Thread(
                        () -> {
                            try {
                                byte[] bytes = new byte[64 * 1024];
                                while (socket.getInputStream().read(bytes) >= 0
                                        && System.nanoTime() < endsAtNanos) {
                                    Thread.onSpinWait();
                                }
                                socket.close();
                            } catch (IOException e) {
                                // The connection is closed.
                            }
                        },
                        "reader");
        reader.setDaemon(true);
        reader.start();
    }

    /** Ends a write that blocks since nothing is read at either end. */
    private static void closeAt(Socket socket, long endsAtNanos) {
        var closer =
                new Thread(
                        () -> {
                            try {
                                TimeUnit.NANOSECONDS.sleep(endsAtNanos - System.nanoTime());
                                socket.close();
                            } catch (IOException | InterruptedException e) {
                                // The connection is closed.
                            }
                        },
                        "closer");
        closer.setDaemon(true);
        closer.start();
    }

    private Socket connect() throws IOException {
        var socket = new Socket(InetAddress.getLoopbackAddress(), gatherer.port());
        socket.setSoTimeout(10_000);
        return socket;
    }

    private String usualQuery(String id) throws IOException {
        try (Socket socket = connect()) {
            socket.getOutputStream()
                    .write(query(id, "usual", BODY).getBytes(StandardCharsets.ISO_8859_1));
            return new BufferedReader(
                            new InputStreamReader(socket.getInputStream(), StandardCharsets.UTF_8))
                    .readLine();
        }
    }
}
