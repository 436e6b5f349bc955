package sprucehold.clients;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import sprucehold.picker.Answer;
import sprucehold.picker.Scan;

/** The HTTP server with a desk that is scripted, asked over plain sockets. */
public class ClientServerTest {
    private static final String BODY = "{\"buckets\":[{\"bucket\":0,\"part\":1}],\"body\":\"c4\"}";
    private static final Answer HIT = new Answer.Completed(true,
            List.of(new Answer.Value(0, "v".getBytes(StandardCharsets.UTF_8))));

    private Vertx vertx;
    private ClientServer server;
    private int port;
    private volatile boolean ready;
    private volatile Answer atOnce;
    private BlockingQueue<Scan> taken;
    private BlockingQueue<Scan> left;

    @BeforeMethod
    public void start() throws Exception {
        ready = true;
        atOnce = null;
        taken = new LinkedBlockingQueue<>();
        left = new LinkedBlockingQueue<>();
        vertx = Vertx.vertx();
        server = new ClientServer(vertx, 10, new Desk() {
            @Override
            public boolean ready() {
                return ready;
            }

            @Override
            public boolean isTableType(String name) {
                return name.equals("q");
            }

            @Override
            public boolean isOpen(Scan scan) {
                return scan.id().equals("open");
            }

            @Override
            public void take(Scan scan) {
                taken.add(scan);
                if (scan.id().equals("panic")) {
                    throw new IllegalStateException("scripted");
                }
                if (atOnce != null) {
                    server.answer(scan, atOnce);
                }
            }

            @Override
            public void left(Scan scan) {
                left.add(scan);
            }
        }, () -> 0);
        HttpServer listening = server.listen("127.0.0.1", 0).toCompletionStage().toCompletableFuture()
                .get(5, TimeUnit.SECONDS);
        port = listening.actualPort();
    }

    @AfterMethod
    public void stop() throws Exception {
        vertx.close().toCompletionStage().toCompletableFuture().get(5, TimeUnit.SECONDS);
    }

    private static String post(String path, String id, String body) {
        return "POST " + path + " HTTP/1.1\r\nHost: h\r\nX-Request-Id: " + id + "\r\nX-Class: q\r\n"
                + "X-Deadline-Ms: 480\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }

    private Socket connect(String bytes) throws IOException {
        var socket = new Socket("127.0.0.1", port);
        socket.setSoTimeout(5000);
        socket.getOutputStream().write(bytes.getBytes(StandardCharsets.UTF_8));
        return socket;
    }

    /** Reads one response, headers and sized body. */
    private static String response(Socket socket) throws IOException {
        InputStream in = socket.getInputStream();
        var text = new StringBuilder();
        while (text.indexOf("\r\n\r\n") < 0) {
            int read = in.read();
            if (read < 0) {
                return text.toString();
            }
            text.append((char) read);
        }
        String head = text.toString().toLowerCase();
        int at = head.indexOf("content-length: ");
        int length = at < 0 ? 0 : Integer.parseInt(head.substring(at + 16, head.indexOf("\r\n", at)));
        return text + new String(in.readNBytes(length), StandardCharsets.UTF_8);
    }

    private void answer(Scan scan, Answer answer) {
        vertx.runOnContext(none -> server.answer(scan, answer));
    }

    @DataProvider
    Object[][] refused() {
        return new Object[][] {
            {post("/other", "s", BODY), 404, "no such table type"}, {post("/", "s", BODY), 404, ""},
            {"GET /q HTTP/1.1\r\nHost: h\r\n\r\n", 405, "Allow: POST"},
            {"DELETE /up HTTP/1.1\r\nHost: h\r\n\r\n", 405, "Allow: GET"},
            {post("/q", "open", BODY), 400, "open"}, {post("/q", "s", "{}"), 400, "buckets"},
            {post("/q", "s", " ".repeat(64 * 1024 + 1)), 413, "64 KiB"},
        };
    }

    @Test(dataProvider = "refused")
    public void whatCantBeTakenIsRefusedWithItsReason(String request, int status, String says) throws IOException {
        try (Socket socket = connect(request)) {
            String response = response(socket);
            assertTrue(response.startsWith("HTTP/1.1 " + status + " "), response);
            assertTrue(response.contains(says), response);
            assertTrue(taken.isEmpty());
        }
    }

    @DataProvider
    Object[][] answers() {
        return new Object[][] {
            {HIT, "200", "{\"finished\":true,\"found\":[{\"bucket\":0,\"item\":\"v\"}]}"},
            {new Answer.Throttled(250), "503", "Retry-After: 0.25\r\n"},
            {new Answer.Throttled(0), "503", "throttled"}, {new Answer.Abandoned(), "502", "abandoned"},
        };
    }

    @Test(dataProvider = "answers")
    public void answersHaveTheirForms(Answer answer, String status, String holds) throws IOException {
        atOnce = answer;
        try (Socket socket = connect(post("/q/more", "s", BODY))) {
            String response = response(socket);
            assertTrue(response.startsWith("HTTP/1.1 " + status + " "), response);
            assertTrue(response.contains(holds), response);
            assertEquals(response.contains("Retry-After"), holds.startsWith("Retry-After"));
        }
    }

    @Test
    public void upTellsWhetherScansCanBeTaken() throws IOException {
        for (boolean is : new boolean[] {true, false}) {
            ready = is;
            try (Socket socket = connect("GET /up HTTP/1.1\r\nHost: h\r\n\r\n")) {
                assertTrue(response(socket).startsWith(is ? "HTTP/1.1 200" : "HTTP/1.1 503"));
            }
        }
    }

    @Test
    public void chunkedAndPipelinedRequestsAreAllTaken() throws IOException {
        atOnce = HIT;
        String chunked = "POST /q HTTP/1.1\r\nHost: h\r\nX-Request-Id: c\r\nX-Class: q\r\nX-Deadline-Ms: 480\r\n"
                + "Transfer-Encoding: chunked\r\n\r\n";
        for (int i = 0; i < BODY.length(); i++) {
            chunked += "1\r\n" + BODY.charAt(i) + "\r\n";
        }
        try (Socket socket = connect(post("/q", "a", BODY) + chunked + "0\r\n\r\n" + post("/q", "b", BODY))) {
            for (String id : List.of("a", "c", "b")) {
                assertTrue(response(socket).startsWith("HTTP/1.1 200 "));
                assertEquals(taken.remove().id(), id);
            }
        }
    }

    @Test
    public void clientThatClosesHasLeft() throws Exception {
        Socket socket = connect(post("/q", "s", BODY));
        assertEquals(taken.poll(5, TimeUnit.SECONDS).id(), "s");
        socket.close();
        assertEquals(left.poll(5, TimeUnit.SECONDS).id(), "s");
    }

    @Test
    public void clientThatClosesAfterItsAnswerHasNotLeftAScan() throws Exception {
        atOnce = HIT;
        try (Socket socket = connect(post("/q", "s", BODY))) {
            response(socket);
        }
        try (Socket socket = connect(post("/q", "t", BODY))) {
            response(socket);
        }
        assertTrue(left.isEmpty());
    }

    @Test
    public void panicEndsItsConnectionAlone() throws Exception {
        try (Socket other = connect(post("/q", "s", BODY));
                Socket socket = connect(post("/q", "panic", BODY))) {
            assertEquals(response(socket), "");
            assertEquals(left.poll(5, TimeUnit.SECONDS).id(), "panic");
            Scan scan = taken.stream().filter(one -> one.id().equals("s")).findAny().orElseThrow();
            answer(scan, HIT);
            assertTrue(response(other).startsWith("HTTP/1.1 200 "));
        }
    }

    @Test
    public void drainClosesIdleConnectionsAndSendsOthersElsewhereAfterTheirAnswer() throws Exception {
        atOnce = HIT;
        try (Socket idle = connect(post("/q", "i", BODY))) {
            response(idle);
            atOnce = null;
            try (Socket busy = connect(post("/q", "s", BODY))) {
                taken.poll(5, TimeUnit.SECONDS);
                Scan scan = taken.poll(5, TimeUnit.SECONDS);
                vertx.runOnContext(none -> {
                    server.drain();
                    server.closeIdle();
                });
                assertEquals(idle.getInputStream().read(), -1);
                answer(scan, HIT);
                String response = response(busy);
                assertTrue(response.startsWith("HTTP/1.1 200 ") && response.contains("Connection: close"), response);
                assertEquals(busy.getInputStream().read(), -1);
            }
        }
        assertFalse(left.stream().anyMatch(scan -> scan.id().equals("i")));
    }
}
