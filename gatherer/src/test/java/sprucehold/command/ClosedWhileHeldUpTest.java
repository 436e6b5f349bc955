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
 * A gatherer in a process of its own that is stopped while its clients ask and close. Afterwards
 * none of its attempts may begin over 0.1 s after its client's close, whatever it is that begins
 * it, and none may tell its shard server more time than its client has left.
 */
public class ClosedWhileHeldUpTest {
    private static final int CLIENTS = 40;

    /** Few enough to be out at two servers at once, of which little is known yet. */
    private static final int RETRIED = 6;

    /**
     * The stop goes on so long after the last close: longer than the 0.1 s in which an attempt may
     * still begin.
     */
    private static final long HELD_UP_MS = 150;

    /** More than one pass over the listener accepts. */
    private static final int NEWCOMERS = 100;

    private static final double DEADLINE_MS = 2500;

    /** So long newcomers wait in the backlog. */
    private static final long WAITED_MS = 1000;

    /** What an attempt may tell beyond what its client has left, in milliseconds. */
    private static final double TOLD_SLACK_MS = 150;

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
            assertEquals(ask("warm" + i), "HTTP/1.1 200 OK");
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

    private String ask(String id) throws IOException {
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

    /** Attempts of queries whose ids begin so, at both servers. */
    private List<String> attempts(String prefix) {
        var all = new ArrayList<>(first.came());
        all.addAll(second.came());
        return all.stream()
                .map(RecordingShardServer.Part::query)
                .filter(query -> query.startsWith(prefix))
                .sorted()
                .toList();
    }

    private List<Socket> connected(int clients) throws IOException {
        var sockets = new ArrayList<Socket>();
        for (int i = 0; i < clients; i++) {
            sockets.add(connect());
        }
        // Answered on a connection that was opened after them: the gatherer holds all of them.
        assertEquals(ask("held" + sockets.get(0).getLocalPort()), "HTTP/1.1 200 OK");
        return sockets;
    }

    private void goOn() throws Exception {
        Thread.sleep(HELD_UP_MS);
        signal("CONT");
        // Queries are decided upon in the order in which they came, so once these are answered all
        // before them were.
        for (int i = 0; i < 10; i++) {
            String status = ask("after" + i);
            assertTrue(status != null && status.matches("HTTP/1.1 (200|503) .*"), status);
        }
    }

    @Test
    public void noFirstAttemptBeginsForAClientWhoseCloseLayUnread() throws Exception {
        List<Socket> sockets = connected(CLIENTS);
        signal("STOP");
        for (int i = 0; i < CLIENTS; i++) {
            send(sockets.get(i), "gone" + i);
        }
        for (Socket socket : sockets) {
            socket.close();
        }
        goOn();
        assertEquals(attempts("gone"), List.of());
    }

    @DataProvider
    Object[][] ends() {
        return new Object[][] {{"fault"}, {"overload"}};
    }

    @Test(dataProvider = "ends")
    public void noRetryBeginsForAClientWhoseCloseLayUnread(String endsAs) throws Exception {
        List<Socket> sockets = connected(RETRIED);
        for (int i = 0; i < RETRIED; i++) {
            send(sockets.get(i), "wait" + i);
        }
        long end = System.nanoTime() + 30_000_000_000L;
        while (attempts("wait").size() < RETRIED) {
            assertTrue(
                    System.nanoTime() < end, "only " + attempts("wait").size() + " attempts came");
            Thread.onSpinWait();
        }
        List<String> before = attempts("wait");
        signal("STOP");
        for (RecordingShardServer server : List.of(first, second)) {
            for (RecordingShardServer.Part part : server.kept()) {
                part.end(endsAs);
            }
        }
        for (Socket socket : sockets) {
            socket.close();
        }
        goOn();
        assertEquals(attempts("wait"), before);
    }

    @Test
    public void timeInTheBacklogIsTakenFromTheClientsTime() throws Exception {
        signal("STOP");
        var sockets = new ArrayList<Socket>();
        var sentNanos = new HashMap<String, Long>();
        for (int i = 0; i < NEWCOMERS; i++) {
            Socket socket = connect();
            sockets.add(socket);
            sentNanos.put("new" + i, System.nanoTime());
            send(socket, "new" + i);
        }
        Thread.sleep(WAITED_MS);
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
        var parts = new ArrayList<>(first.came());
        parts.addAll(second.came());
        parts.removeIf(part -> !sentNanos.containsKey(part.query()));
        assertTrue(!parts.isEmpty(), "none was sent on");
        List<String> toldTooMuch =
                parts.stream()
                        .filter(
                                part ->
                                        part.toldMs()
                                                > leftMs(
                                                                sentNanos.get(part.query()),
                                                                part.cameNanos())
                                                        + TOLD_SLACK_MS)
                        .map(RecordingShardServer.Part::toString)
                        .toList();
        assertEquals(toldTooMuch, List.of());
    }

    private static double leftMs(long sentNanos, long atNanos) {
        return DEADLINE_MS - (atNanos - sentNanos) / 1e6;
    }
}
