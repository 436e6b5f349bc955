package sprucehold.command;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests of a gatherer process that is stopped by SIGSTOP while its clients send queries and
 * disconnect. After SIGCONT no attempt of any kind may begin more than 0.1 s after its client's
 * close, and no attempt may send its shard server a longer timeout than the time left to its
 * client.
 */
public class ClientDisconnectDuringStallTest {
    private static final int CLIENTS = 40;

    /**
     * Number of queries to retry. It is small enough that their attempts can all be pending at the
     * two servers at once. The gatherer's concurrency limit for a server starts at 4 attempts, and
     * the queries that were sent one at a time before don't raise it.
     */
    private static final int RETRIED_QUERIES = 6;

    /**
     * Time for which the process stays stopped after the last close, in milliseconds. It is longer
     * than the 0.1 s within which an attempt may still begin.
     */
    private static final long STALL_MS = 150;

    /** Number of new connections, more than one pass over the listener accepts. */
    private static final int NEW_CONNECTIONS = 100;

    private static final double DEADLINE_MS = 2500;

    /** Time that new connections wait in the backlog, in milliseconds. */
    private static final long BACKLOG_MS = 1000;

    /**
     * Time by which the timeout of an attempt may exceed the time left to its client, in
     * milliseconds.
     */
    private static final double TIMEOUT_SLACK_MS = 150;

    private RecordingShardServer first;
    private RecordingShardServer second;
    private Path config;
    private Process gatherer;
    private int port;

    @BeforeMethod
    public void open() throws Exception {
        first = new RecordingShardServer(query -> query.startsWith("wait") ? null : "hit");
        second = new RecordingShardServer(query -> query.startsWith("wait") ? null : "hit");
        try (var free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            port = free.getLocalPort();
        }
        config = Files.createTempFile("held-up", ".json");
        Files.writeString(
                config,
                "{\"name\":\"n\",\"listen\":\"127.0.0.1:"
                        + port
                        + "\",\"discovery\":\"127.0.0.1:1\",\"seed\":\"1\","
                        + "\"known\":{\"index\":7,\"snapshot\":true,\"endpoints\":["
                        + endpoint("a", first)
                        + ","
                        + endpoint("b", second)
                        + "]},\"settings\":{\"classes\":[{\"name\":\"q\",\"semantics\":\"retryable\",\"aimMs\":2000,\"giveUpMs\":3000}],"
                        + "\"familyInfo\":{\"ranges\":1,\"sets\":1},\"limits\":{\"dialTimeoutMs\":250,\"idleCloseMs\":15000,"
                        + "\"streamsPerConn\":64,\"sendCap\":4,\"secondCopies\":false}}}");
        var builder =
                new ProcessBuilder(
                                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                                "-XX:TieredStopAtLevel=1",
                                "-Xmx64m",
                                "-cp",
                                System.getProperty("java.class.path"),
                                "sprucehold.command.Main",
                                "serve",
                                "--config",
                                config.toString())
                        .redirectErrorStream(true);
        builder.environment().keySet().removeIf(name -> name.matches("EDGE_.*|SPRUCEHOLD_.*"));
        gatherer = builder.start();
        var log =
                new BufferedReader(
                        new InputStreamReader(gatherer.getInputStream(), StandardCharsets.UTF_8));
        String line = log.readLine();
        while (line != null && !line.contains("listening at")) {
            line = log.readLine();
        }
        assertTrue(line != null, "the gatherer ended before it listened");
        var rest = new Thread(() -> log.lines().forEach(more -> {}), "log");
        rest.setDaemon(true);
        rest.start();
        for (int i = 0; i < 50; i++) {
            assertEquals(sendAndReadStatus("warm" + i), "HTTP/1.1 200 OK");
        }
    }

    private static String endpoint(String name, RecordingShardServer server) {
        return "{\"name\":\""
                + name
                + "\",\"address\":\"127.0.0.1:"
                + server.port()
                + "\",\"group\":0,\"status\":\"active\"}";
    }

    @AfterMethod(alwaysRun = true)
    public void close() throws Exception {
        gatherer.destroyForcibly();
        Files.delete(config);
        first.close();
        second.close();
    }

    private Socket connect() throws IOException {
        var socket = new Socket(InetAddress.getLoopbackAddress(), port);
        socket.setSoTimeout(10_000);
        socket.setTcpNoDelay(true);
        return socket;
    }

    private static void send(Socket socket, String id) throws IOException {
        String body = "{\"buckets\":[{\"bucket\":0,\"part\":1}],\"body\":\"c4\"}";
        socket.getOutputStream()
                .write(
                        ("POST /q HTTP/1.1\r\nHost: h\r\nX-Request-Id: "
                                        + id
                                        + "\r\nX-Class: q\r\n"
                                        + "X-Deadline-Ms: "
                                        + (int) DEADLINE_MS
                                        + "\r\nContent-Length: "
                                        + body.length()
                                        + "\r\n\r\n"
                                        + body)
                                .getBytes(StandardCharsets.UTF_8));
    }

    private String sendAndReadStatus(String id) throws IOException {
        try (Socket socket = connect()) {
            send(socket, id);
            return new BufferedReader(
                            new InputStreamReader(socket.getInputStream(), StandardCharsets.UTF_8))
                    .readLine();
        }
    }

    private void signal(String name) throws Exception {
        assertEquals(
                new ProcessBuilder("kill", "-" + name, String.valueOf(gatherer.pid()))
                        .start()
                        .waitFor(),
                0);
    }

    /** Returns the attempts at both servers for queries whose ids begin with {@code prefix}. */
    private List<String> attempts(String prefix) {
        var all = new ArrayList<>(first.received());
        all.addAll(second.received());
        return all.stream()
                .map(RecordingShardServer.Part::query)
                .filter(query -> query.startsWith(prefix))
                .sorted()
                .toList();
    }

    private List<Socket> openConnections(int clients) throws IOException {
        var sockets = new ArrayList<Socket>();
        for (int i = 0; i < clients; i++) {
            sockets.add(connect());
        }
        // This query is answered on a connection that was opened after the others, so the gatherer
        // has accepted all of them.
        assertEquals(sendAndReadStatus("held" + sockets.get(0).getLocalPort()), "HTTP/1.1 200 OK");
        return sockets;
    }

    private void resumeAfterStall() throws Exception {
        Thread.sleep(STALL_MS);
        signal("CONT");
        // Queries are decided in the order of their receipt, so once these are answered all earlier
        // ones have been decided.
        for (int i = 0; i < 10; i++) {
            String status = sendAndReadStatus("after" + i);
            assertTrue(status != null && status.matches("HTTP/1.1 (200|503) .*"), status);
        }
    }

    @Test
    public void noFirstAttemptBeginsIfClientDisconnectedDuringStall() throws Exception {
        List<Socket> sockets = openConnections(CLIENTS);
        signal("STOP");
        for (int i = 0; i < CLIENTS; i++) {
            send(sockets.get(i), "gone" + i);
        }
        for (Socket socket : sockets) {
            socket.close();
        }
        resumeAfterStall();
        assertEquals(attempts("gone"), List.of());
    }

    @DataProvider
    Object[][] failedOutcomes() {
        return new Object[][] {{"fault"}, {"overload"}};
    }

    @Test(dataProvider = "failedOutcomes")
    public void noRetryBeginsIfClientDisconnectedDuringStall(String outcome) throws Exception {
        List<Socket> sockets = openConnections(RETRIED_QUERIES);
        for (int i = 0; i < RETRIED_QUERIES; i++) {
            send(sockets.get(i), "wait" + i);
        }
        long end = System.nanoTime() + 30_000_000_000L;
        while (attempts("wait").size() < RETRIED_QUERIES) {
            assertTrue(
                    System.nanoTime() < end,
                    "only " + attempts("wait").size() + " attempts received");
            Thread.onSpinWait();
        }
        List<String> before = attempts("wait");
        signal("STOP");
        for (RecordingShardServer server : List.of(first, second)) {
            for (RecordingShardServer.Part part : server.pending()) {
                part.complete(outcome);
            }
        }
        for (Socket socket : sockets) {
            socket.close();
        }
        resumeAfterStall();
        assertEquals(attempts("wait"), before);
    }

    @Test
    public void timeInBacklogIsSubtractedFromTimeLeft() throws Exception {
        signal("STOP");
        var sockets = new ArrayList<Socket>();
        var sentNanos = new HashMap<String, Long>();
        for (int i = 0; i < NEW_CONNECTIONS; i++) {
            Socket socket = connect();
            sockets.add(socket);
            sentNanos.put("new" + i, System.nanoTime());
            send(socket, "new" + i);
        }
        Thread.sleep(BACKLOG_MS);
        signal("CONT");
        for (Socket socket : sockets) {
            String status =
                    new BufferedReader(
                                    new InputStreamReader(
                                            socket.getInputStream(), StandardCharsets.UTF_8))
                            .readLine();
            assertTrue(status != null && status.matches("HTTP/1.1 (200|502|503) .*"), status);
            socket.close();
        }
        var parts = new ArrayList<>(first.received());
        parts.addAll(second.received());
        parts.removeIf(part -> !sentNanos.containsKey(part.query()));
        assertTrue(!parts.isEmpty(), "no part was sent to a shard server");
        List<String> excessiveTimeouts =
                parts.stream()
                        .filter(
                                part ->
                                        part.timeoutMs()
                                                > leftMs(
                                                                sentNanos.get(part.query()),
                                                                part.receivedNanos())
                                                        + TIMEOUT_SLACK_MS)
                        .map(RecordingShardServer.Part::toString)
                        .toList();
        assertEquals(excessiveTimeouts, List.of());
    }

    private static double leftMs(long sentNanos, long atNanos) {
        return DEADLINE_MS - (atNanos - sentNanos) / 1e6;
    }
}
