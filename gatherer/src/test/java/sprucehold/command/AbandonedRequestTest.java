package sprucehold.command;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.IntFunction;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Guards against requests that are sent on after their client has closed its connection with much
 * still unread, and against ids that run twice when they come again after that.
 */
public class AbandonedRequestTest {
    private static final String SETTINGS =
            "{\"classes\":[{\"name\":\"q\",\"semantics\":\"fragile\",\"aimMs\":2000,\"giveUpMs\":3000}],"
                    + "\"familyInfo\":{\"ranges\":4,\"sets\":1},"
                    + "\"limits\":{\"dialTimeoutMs\":250,\"idleCloseMs\":15000,"
                    + "\"streamsPerConn\":64,\"sendCap\":64}}";

    /**
     * Time after a client's close at which its last attempt has arrived: 100 ms within which an
     * attempt may still begin, and the delays of this process.
     */
    private static final long MAX_AFTER_CLOSE_MS = 250;

    private static final long WAIT_MS = 500;

    private static final int QUERIES = 40;

    private RecordingShardServer server;
    private ServeProcess gatherer;

    @BeforeMethod
    public void open() throws IOException {
        // Queries whose ids begin with "hang" stay open until their clients leave.
        server = new RecordingShardServer(query -> query.startsWith("hang") ? null : "hit");
        gatherer = new ServeProcess(SETTINGS, List.of(server), List.of());
    }

    @AfterMethod(alwaysRun = true)
    public void close() throws IOException {
        gatherer.close();
        server.close();
    }

    private static String query(String id, int bytes) {
        String body =
                "{\"buckets\":[{\"bucket\":0,\"part\":1}],\"body\":\"" + "b".repeat(bytes) + "\"}";
        return "POST /q HTTP/1.1\r\nHost: h\r\nX-Request-Id: "
                + id
                + "\r\nX-Class: q\r\nX-Deadline-Ms: 3000\r\nContent-Length: "
                + body.length()
                + "\r\n\r\n"
                + body;
    }

    @DataProvider
    Object[][] abandoned() {
        String healthCheck = "GET /up HTTP/1.1\r\nHost: h\r\n\r\n";
        String huge = "x".repeat(12_000_000);
        var forms =
                List.of(
                        form("one open query", i -> i == 0 ? query("hang", 9) : ""),
                        form("open queries", i -> query("hang" + i, 9)),
                        form("answered queries", i -> query("hit" + i, 9)),
                        form("large open queries", i -> query("hang" + i, 60_000)),
                        form("large answered queries", i -> query("hit" + i, 60_000)),
                        form(
                                "behind health checks",
                                i -> healthCheck.repeat(50) + query("hang" + i, 9)),
                        form(
                                "health checks first",
                                i -> i == 0 ? healthCheck.repeat(2000) : query("hang" + i, 9)),
                        form("before much input", i -> i == 0 ? query("hang", 9) + huge : ""),
                        form(
                                "HTTP/1.0",
                                i -> query("hang" + i, 9).replace("HTTP/1.1", "HTTP/1.0")));
        return forms.stream()
                .flatMap(form -> Stream.of(withLinger(form, -1), withLinger(form, 0)))
                .toArray(Object[][]::new);
    }

    private static Object[] withLinger(Object[] form, int linger) {
        return new Object[] {form[0], linger, form[1]};
    }

    private static Object[] form(String name, IntFunction<String> request) {
        return new Object[] {name, request};
    }

    /** A gatherer of its own for each form, since servers that hang reduce what it sends. */
    @Test(dataProvider = "abandoned")
    public void nothingIsSentOnAfterTheCloseAndNoIdRunsTwice(
            String name, int linger, IntFunction<String> request) throws Exception {
        var text = new StringBuilder();
        for (int i = 0; i < QUERIES; i++) {
            text.append(request.apply(i));
        }
        String requests = text.toString();
        long closedAtNanos = sendAndClose(requests, linger);
        TimeUnit.MILLISECONDS.sleep(WAIT_MS);
        for (RecordingShardServer.Part part : server.received()) {
            long afterMs = TimeUnit.NANOSECONDS.toMillis(part.receivedNanos() - closedAtNanos);
            assertTrue(afterMs < MAX_AFTER_CLOSE_MS, part.id() + " came after " + afterMs);
        }
        sendAndClose(requests, linger);
        TimeUnit.MILLISECONDS.sleep(WAIT_MS);
        sendAndClose(requests, -1);
        TimeUnit.MILLISECONDS.sleep(WAIT_MS);
        List<String> ids = server.received().stream().map(RecordingShardServer.Part::id).toList();
        assertEquals(twice(ids), List.of(), name);
        // Behind health checks whose answers aren't read, queries may never begin.
        assertFalse(ids.isEmpty() && request.apply(0).startsWith("POST"), name);
    }

    private static List<String> twice(List<String> ids) {
        return ids.stream()
                .collect(Collectors.groupingBy(id -> id, Collectors.counting()))
                .entrySet()
                .stream()
                .filter(entry -> entry.getValue() > 1)
                .map(entry -> entry.getKey() + " x" + entry.getValue())
                .toList();
    }

    /** Waits until a part arrives, or for a while if none does. */
    private void awaitPart() throws InterruptedException {
        int before = server.received().size();
        for (int waits = 0; waits < 100 && server.received().size() == before; waits++) {
            TimeUnit.MILLISECONDS.sleep(10);
        }
    }

    /**
     * Sends requests, gives the gatherer some time to begin with them, and closes the connection.
     * Returns the time of the close.
     *
     * @param linger -1 for a close, 0 for a reset
     */
    private long sendAndClose(String requests, int linger) throws Exception {
        try (var socket = new Socket(InetAddress.getLoopbackAddress(), gatherer.port())) {
            socket.setSoLinger(linger >= 0, Math.max(0, linger));
            socket.setTcpNoDelay(true);
            try {
                socket.getOutputStream().write(requests.getBytes(StandardCharsets.ISO_8859_1));
            } catch (IOException e) {
                // The gatherer has closed the connection.
            }
            awaitPart();
        }
        return System.nanoTime();
    }
}
