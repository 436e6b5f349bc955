package sprucehold.clients;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.net.SocketAddress;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import sprucehold.TestLoop;
import sprucehold.coordinator.Answer;
import sprucehold.coordinator.Payload;
import sprucehold.coordinator.Query;

/** The HTTP server with a handler that is scripted, asked over plain sockets. */
public class ClientServerTest {
    private static final String BODY = "{\"buckets\":[{\"bucket\":0,\"part\":1}],\"body\":\"c4\"}";
    private static final Answer HIT =
            new Answer.Completed(true, List.of(new Answer.Value(0, Payload.ofText("v"))));

    /** How many connections clients may hold. */
    private static final int MOST = 6;

    /**
     * No test is so slow that it would meet the end of a connection's lingering unless it means to.
     */
    private static final long LONG_MS = 60_000;

    /** Some 44 KB, far more than anybody asks at once. */
    private static final int FLOOD_REQUESTS = 400;

    /**
     * What one connection may take of a pass, so that others' sockets are read soon: two reads, and
     * the rest of a request before them.
     */
    private static final int MOST_BYTES_A_PASS = 8 * 1024 + 512;

    private Vertx vertx;
    private TestLoop loop;
    private ClientServer server;
    private int port;
    private volatile boolean ready;
    private volatile double now;
    private volatile Answer atOnce;
    private volatile double heldUpMs;
    private BlockingQueue<Query> received;
    private BlockingQueue<Query> disconnected;
    private BlockingQueue<ConnectionArrival> arrivals;
    private boolean inPass;
    private int requestsOfPass;
    private volatile int mostRequestsOfAPass;

    @BeforeMethod
    public void start() throws Exception {
        start(LONG_MS);
    }

    private void start(long lingerMs) throws Exception {
        ready = true;
        now = 0;
        atOnce = null;
        heldUpMs = 0;
        inPass = false;
        mostRequestsOfAPass = 0;
        received = new LinkedBlockingQueue<>();
        disconnected = new LinkedBlockingQueue<>();
        arrivals = new LinkedBlockingQueue<>();
        vertx = Vertx.vertx();
        loop = new TestLoop(vertx);
        var handler =
                new QueryHandler() {
                    @Override
                    public boolean ready() {
                        return ready;
                    }

                    @Override
                    public boolean isQueryClass(String name) {
                        return name.equals("q");
                    }

                    @Override
                    public boolean isOpen(Query query) {
                        return query.id().equals("open");
                    }

                    @Override
                    public double unreadSince(double nowMs, ConnectionArrival arrival) {
                        arrivals.add(arrival);
                        countInPass();
                        return nowMs - heldUpMs;
                    }

                    @Override
                    public void receive(Query query) {
                        received.add(query);
                        if (query.id().equals("panic")) {
                            throw new IllegalStateException("scripted");
                        }
                        if (atOnce != null) {
                            server.answer(query, atOnce);
                        }
                    }

                    @Override
                    public void disconnected(Query query) {
                        disconnected.add(query);
                    }
                };
        var listening = new CompletableFuture<HttpServer>();
        loop.run(
                () -> {
                    server = new ClientServer(vertx, 10, MOST, handler, () -> now, lingerMs);
                    server.listen(SocketAddress.inetSocketAddress(0, "127.0.0.1"))
                            .onComplete(listening::complete, listening::completeExceptionally);
                });
        port = listening.get(5, TimeUnit.SECONDS).actualPort();
    }

    /**
     * Work that is handed over while sockets are read is done once the pass over them is through.
     */
    private void countInPass() {
        if (!inPass) {
            inPass = true;
            requestsOfPass = 0;
            Vertx.currentContext().runOnContext(none -> inPass = false);
        }
        requestsOfPass++;
        mostRequestsOfAPass = Math.max(mostRequestsOfAPass, requestsOfPass);
    }

    @AfterMethod
    public void stop() throws Exception {
        vertx.close().toCompletionStage().toCompletableFuture().get(5, TimeUnit.SECONDS);
    }

    private static String post(String path, String id, String body) {
        return "POST "
                + path
                + " HTTP/1.1\r\nHost: h\r\nX-Request-Id: "
                + id
                + "\r\nX-Class: q\r\n"
                + "X-Deadline-Ms: 480\r\nContent-Length: "
                + body.length()
                + "\r\n\r\n"
                + body;
    }

    private Socket connect(String bytes) throws IOException {
        var socket = new Socket(InetAddress.getLoopbackAddress(), port);
        socket.setSoTimeout(5000);
        socket.getOutputStream().write(bytes.getBytes(StandardCharsets.UTF_8));
        return socket;
    }

    @Test
    public void whoSendsMuchAtOnceTakesABoundedPartOfEachPass() throws Exception {
        String request = post("/none", "f", "");
        try (Socket client = connect(request)) {
            assertTrue(response(client).startsWith("HTTP/1.1 404"));
            Runnable goOn = loop.hold(() -> {});
            client.getOutputStream()
                    .write(request.repeat(FLOOD_REQUESTS).getBytes(StandardCharsets.UTF_8));
            goOn.run();
            for (int i = 0; i < FLOOD_REQUESTS; i++) {
                assertTrue(response(client).startsWith("HTTP/1.1 404"), "request " + i);
            }
        }
        assertTrue(mostRequestsOfAPass > 0, "no pass was counted");
        assertTrue(
                mostRequestsOfAPass * request.length() <= MOST_BYTES_A_PASS,
                mostRequestsOfAPass + " requests in one pass");
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
        String head = text.toString().toLowerCase(Locale.ROOT);
        int at = head.indexOf("content-length: ");
        int length =
                at < 0 ? 0 : Integer.parseInt(head.substring(at + 16, head.indexOf("\r\n", at)));
        return text + new String(in.readNBytes(length), StandardCharsets.UTF_8);
    }

    /** Waits until the server holds so many connections. */
    private void accepted(int connections) throws Exception {
        loop.until(() -> server.connections() == connections);
    }

    /**
     * Waits until the server itself counts all its answers as written, which it may do after the
     * client has read them.
     */
    private void settled() throws Exception {
        loop.until(() -> server.pendingAnswers() == 0);
    }

    private void answer(Query query, Answer answer) {
        loop.run(() -> server.answer(query, answer));
    }

    @Test
    public void timeThatARequestLayUnreadIsTimeThatItsClientHasWaited() throws Exception {
        heldUpMs = 200;
        atOnce = HIT;
        try (Socket socket = connect(post("/q", "s", BODY))) {
            assertTrue(response(socket).startsWith("HTTP/1.1 200 "));
        }
        assertEquals(received.remove().timeLeftMs(), 280.0);
    }

    @DataProvider
    Object[][] refused() {
        return new Object[][] {
            {post("/other", "s", BODY), 404, "no such table type"},
            {post("/", "s", BODY), 404, ""},
            {"GET /q HTTP/1.1\r\nHost: h\r\n\r\n", 405, "Allow: POST"},
            {"DELETE /up HTTP/1.1\r\nHost: h\r\n\r\n", 405, "Allow: GET"},
            {post("/q", "open", BODY), 400, "open"},
            {post("/q", "s", "{}"), 400, "buckets"},
            {post("/q", "s", " ".repeat(64 * 1024 + 1)), 413, "64 KiB"},
        };
    }

    @Test(dataProvider = "refused")
    public void whatCantBeTakenIsRefusedWithItsReason(String request, int status, String says)
            throws IOException {
        try (Socket socket = connect(request)) {
            String response = response(socket);
            assertTrue(response.startsWith("HTTP/1.1 " + status + " "), response);
            assertTrue(response.contains(says), response);
            assertTrue(received.isEmpty());
        }
    }

    private static String framed(String headers, String rest) {
        return "POST /q HTTP/1.1\r\nHost: h\r\nX-Request-Id: s\r\nX-Class: q\r\nX-Deadline-Ms: 480\r\n"
                + headers
                + "\r\n\r\n"
                + rest;
    }

    @DataProvider
    Object[][] unreadable() {
        String chunks = Integer.toHexString(BODY.length()) + "\r\n" + BODY + "\r\n0\r\n\r\n";
        String length = "Content-Length: " + BODY.length();
        return new Object[][] {
            {framed("Transfer-Encoding: chunked\r\n" + length, chunks), 400},
            {framed(length + "\r\nTransfer-Encoding: chunked", chunks), 400},
            {framed("Transfer-Encoding: chunked\r\nContent-Length: 0", chunks), 400},
            {framed("Transfer-Encoding: gzip", ""), 501},
            {framed("Transfer-Encoding: gzip, chunked", chunks), 501},
            {framed("Transfer-Encoding: chunked\r\nTransfer-Encoding: identity", chunks), 501},
            {framed(length + "\r\nContent-Length: 0", BODY), 400},
            {framed("Content-Length: +" + BODY.length(), BODY), 400},
            {framed("Content-Length: -1", BODY), 400},
            {framed("Content-Length: 0x10", BODY), 400},
            {framed("Content-Length: 9999999999999999999", BODY), 400},
            {framed("Content-Length: 3000000000", BODY), 413},
            {framed("Content-Length: 62914560", " "), 413},
            {framed("Transfer-Encoding: chunked", "zz\r\n" + BODY), 400},
            {framed("Transfer-Encoding: chunked", "10001\r\n" + " ".repeat(0x10001) + "\r\n"), 413},
            {framed("X-Long: " + "x".repeat(10_000), ""), 431},
            {"POST /" + "q".repeat(5000) + " HTTP/1.1\r\n\r\n", 414},
            {framed("no header", ""), 400},
            {"\u0000\u0001 nothing\r\n\r\n", 400},
        };
    }

    @Test(dataProvider = "unreadable")
    public void whatCantBeReadIsTheLastOfItsConnection(String request, int status)
            throws Exception {
        try (Socket socket = connect(request + post("/q", "hidden", BODY))) {
            String response = rest(socket);
            assertTrue(response.matches("(?s)HTTP/1.[01] " + status + " .*"), response);
            assertEquals(response.split("HTTP/1", -1).length, 2, response);
            assertTrue(received.isEmpty(), String.valueOf(received));
        }
    }

    /** What comes until the other side closes; a reset fails. */
    private static String rest(Socket socket) throws IOException {
        var bytes = new ByteArrayOutputStream();
        socket.getInputStream().transferTo(bytes);
        return bytes.toString(StandardCharsets.UTF_8);
    }

    @DataProvider
    Object[][] lastAnswers() {
        String length = "Content-Length: ";
        return new Object[][] {
            // What comes, the status, and what is sent before that answer is read.
            {framed(length + (1 << 20), ""), 413, " ".repeat(1 << 17)},
            {"nothing\r\n\r\n", 400, " ".repeat(1 << 17)},
            {framed("Transfer-Encoding: gzip", ""), 501, " ".repeat(1 << 17)},
            {post("/q", "panic", BODY), 500, post("/q", "t", BODY)},
            {
                framed("Connection: close\r\n" + length + BODY.length(), BODY),
                200,
                post("/q", "t", BODY)
            },
            {
                framed(length + BODY.length(), BODY).replace("HTTP/1.1", "HTTP/1.0"),
                200,
                post("/q", "t", BODY)
            },
        };
    }

    /**
     * A close over unread bytes resets the connection, and the answer that is on its way goes with
     * it.
     */
    @Test(dataProvider = "lastAnswers")
    public void lastAnswerArrivesWhateverLiesUnreadBehindIt(String request, int status, String more)
            throws Exception {
        atOnce = HIT;
        try (Socket socket = connect(request + more)) {
            String response = rest(socket);
            assertTrue(response.matches("(?s)HTTP/1.[01] " + status + " .*"), response);
            // The other side has shut its output and reads on: what is sent now does not reset it,
            // and reaches nobody. A
            // reset would come between the two.
            for (int i = 0; i < 2; i++) {
                socket.getOutputStream()
                        .write(post("/q", "u", BODY).getBytes(StandardCharsets.UTF_8));
                loop.until(() -> server.connections() == 1);
            }
            assertEquals(socket.getInputStream().read(), -1);
        }
        assertTrue(
                received.stream()
                        .noneMatch(query -> query.id().equals("t") || query.id().equals("u")),
                String.valueOf(received));
    }

    @Test
    public void connectionThatIsShutIsClosedAfterATime() throws Exception {
        stop();
        start(100);
        try (Socket silent = connect("nothing\r\n\r\n")) {
            assertTrue(rest(silent).contains(" 400 "));
            accepted(0);
        }
    }

    @Test
    public void connectionThatIsShutIsClosedAfterSoManyBytes() throws Exception {
        try (Socket loud = connect("nothing\r\n\r\n")) {
            assertTrue(rest(loud).contains(" 400 "));
            accepted(1);
            byte[] noise = new byte[64 * 1024];
            assertThrows(
                    IOException.class,
                    () -> {
                        // Many times what is read and dropped, and what the buffers of both ends
                        // hold.
                        for (int i = 0; i < 1024; i++) {
                            loud.getOutputStream().write(noise);
                        }
                    });
            accepted(0);
        }
    }

    /**
     * A request that is whole in the system's buffer has been received; its connection isn't idle,
     * however long unread.
     */
    @Test(dataProvider = "aged")
    public void requestThatLiesUnreadWhenItsConnectionIsOldIsAnswered(String before, double age)
            throws Exception {
        atOnce = HIT;
        try (Socket socket = connect(before)) {
            accepted(1);
            if (!before.isEmpty()) {
                response(socket);
                settled();
            }
            // The loop stands still while the request comes and the time passes, and then sweeps
            // before it reads.
            Runnable free = loop.hold(() -> server.sweep());
            socket.getOutputStream().write(post("/q", "t", BODY).getBytes(StandardCharsets.UTF_8));
            double later = now + age;
            now = later;
            free.run();
            assertTrue(response(socket).startsWith("HTTP/1.1 200 "));
        }
    }

    @DataProvider
    Object[][] aged() {
        return new Object[][] {{"", 2600}, {post("/q", "s", BODY), 20_100}};
    }

    @DataProvider
    Object[][] crowds() {
        // How many requests stand in line behind the first, and how long each is.
        return new Object[][] {{1, 0}, {12, 0}, {40, 0}, {3, 20_000}, {200, 100}};
    }

    /**
     * Behind a request that waits the HTTP server reads no further, so it would see the close only
     * once all were sent on.
     */
    @Test(dataProvider = "crowds")
    public void clientThatLeavesWhileItsRequestsStandInLineHasLeftAllOfThem(int behind, int longer)
            throws Exception {
        var requests = new StringBuilder(post("/q", "s", BODY));
        for (int i = 0; i < behind; i++) {
            requests.append(
                    post("/q", "behind" + i, BODY.replace("c4", "c4".repeat(1 + longer / 2))));
        }
        Socket socket = connect(requests.toString());
        Query query = received.poll(5, TimeUnit.SECONDS);
        assertEquals(query.id(), "s");
        socket.close();
        assertEquals(disconnected.poll(5, TimeUnit.SECONDS), query);
        answer(query, HIT);
        accepted(0);
        assertTrue(received.isEmpty(), String.valueOf(received));
    }

    @Test
    public void whoSendsFarTooMuchAtOnceGetsOneAnswerAndNoMore() throws Exception {
        try (Socket socket =
                connect(
                        post("/q", "s", BODY)
                                + post("/q", "t", BODY.replace("c4", "c4".repeat(2_000_000))))) {
            Query query = received.poll(5, TimeUnit.SECONDS);
            // Read on until it was too much.
            loop.until(() -> server.floods() > 0);
            answer(query, HIT);
            String rest = rest(socket);
            assertTrue(
                    rest.startsWith("HTTP/1.1 200 ") && rest.contains("Connection: close"), rest);
            assertTrue(received.isEmpty(), String.valueOf(received));
        }
    }

    @DataProvider
    Object[][] unfinished() {
        return new Object[][] {
            {""},
            {"POST /q HT"},
            {framed("Content-Length: 9", "{")},
            {framed("Transfer-Encoding: chunked", "5\r\n{")}
        };
    }

    @Test(dataProvider = "unfinished")
    public void requestThatDoesntComeInTimeClosesItsConnectionAlone(String bytes) throws Exception {
        try (Socket other = connect(post("/q", "s", BODY));
                Socket socket = connect(bytes)) {
            Query query = received.poll(5, TimeUnit.SECONDS);
            accepted(2);
            now = 2400;
            answer(query, HIT);
            assertTrue(response(other).startsWith("HTTP/1.1 200 "));
            now = 2501;
            assertEquals(rest(socket), "");
            atOnce = HIT;
            other.getOutputStream().write(post("/q", "t", BODY).getBytes(StandardCharsets.UTF_8));
            assertTrue(response(other).startsWith("HTTP/1.1 200 "));
        }
    }

    @Test
    public void silentConnectionsGiveWayToNewOnesAndScansThatAreOpenStay() throws Exception {
        var sockets = new ArrayList<Socket>();
        try (Socket busy = connect(post("/q", "s", BODY))) {
            Query query = received.poll(5, TimeUnit.SECONDS);
            for (int i = 0; i < 2 * MOST; i++) {
                sockets.add(connect(""));
            }
            assertEquals(rest(sockets.get(0)), "");
            sockets.add(connect(post("/q", "t", BODY)));
            assertEquals(received.poll(5, TimeUnit.SECONDS).id(), "t");
            answer(query, HIT);
            String response = response(busy);
            assertTrue(response.startsWith("HTTP/1.1 200 "), response);
            assertTrue(response.contains("Connection: close"), response);
            assertEquals(rest(busy), "");
        } finally {
            for (Socket socket : sockets) {
                socket.close();
            }
        }
    }

    @DataProvider
    Object[][] kept() {
        return new Object[][] {{MOST / 2, 19_900, 20_001}, {MOST / 2 + 1, 1900, 2001}};
    }

    @Test(dataProvider = "kept")
    public void keptConnectionsAreClosedOnceIdleAndSoonerWhenThereAreMany(
            int connections, double stays, double goes) throws Exception {
        atOnce = HIT;
        try (Socket first = connect(post("/q", "s", BODY))) {
            response(first);
            settled();
            now = stays;
            var others = new ArrayList<Socket>();
            for (int i = 1; i < connections; i++) {
                others.add(connect(""));
            }
            accepted(connections);
            first.getOutputStream().write(post("/q", "t", BODY).getBytes(StandardCharsets.UTF_8));
            assertTrue(response(first).startsWith("HTTP/1.1 200 "));
            settled();
            double later = now + goes;
            now = later;
            assertEquals(rest(first), "");
            for (Socket other : others) {
                other.close();
            }
        }
    }

    @DataProvider
    Object[][] answers() {
        return new Object[][] {
            {HIT, "200", "{\"finished\":true,\"found\":[{\"bucket\":0,\"item\":\"v\"}]}"},
            {new Answer.Rejected(250), "503", "Retry-After: 0.25\r\n"},
            {new Answer.Rejected(0), "503", "throttled"},
            {new Answer.Failed(), "502", "abandoned"},
        };
    }

    @Test(dataProvider = "answers")
    public void answersHaveTheirForms(Answer answer, String status, String holds)
            throws IOException {
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
        String chunked =
                String.join(
                        "\r\n",
                        "POST /q HTTP/1.1",
                        "Host: h",
                        "X-Request-Id: c",
                        "X-Class: q",
                        "X-Deadline-Ms: 480",
                        "Transfer-Encoding: chunked",
                        "",
                        "");
        for (int i = 0; i < BODY.length(); i++) {
            chunked += "1\r\n" + BODY.charAt(i) + "\r\n";
        }
        try (Socket socket =
                connect(post("/q", "a", BODY) + chunked + "0\r\n\r\n" + post("/q", "b", BODY))) {
            for (String id : List.of("a", "c", "b")) {
                assertTrue(response(socket).startsWith("HTTP/1.1 200 "));
                assertEquals(received.remove().id(), id);
            }
        }
    }

    @DataProvider
    Object[][] forms() {
        String needed = "X-Request-Id: s\r\nX-Class: q\r\nX-Deadline-Ms: 480\r\n";
        String sized = needed + "Content-Length: " + BODY.length() + "\r\n";
        String chunk = Integer.toHexString(BODY.length());
        return new Object[][] {
            {"POST /q HTTP/1.1\r\nHost: h\r\n" + sized + "\r\n" + BODY},
            {"POST /q HTTP/1.1\r\nhost: h\r\n" + sized.toLowerCase(Locale.ROOT) + "\r\n" + BODY},
            {
                "POST /q HTTP/1.1\r\nHOST:h\r\n"
                        + sized.replace(": ", ":\t  ").replace("\r\n", " \r\n")
                        + "\r\n"
                        + BODY
            },
            {
                "POST /q/more?x=1 HTTP/1.1\r\nHost: h\r\nX-Other: 1\r\nX-Other: 2\r\n"
                        + sized
                        + "\r\n"
                        + BODY
            },
            {
                "POST http://service.internal/q HTTP/1.1\r\nHost: service.internal\r\n"
                        + sized
                        + "\r\n"
                        + BODY
            },
            {"\r\nPOST /q HTTP/1.1\r\nHost: h\r\n" + sized + "\r\n" + BODY},
            {
                "POST /q HTTP/1.1\r\nHost: h\r\n"
                        + needed
                        + "transfer-encoding: Chunked\r\n\r\n"
                        + chunk
                        + "\r\n"
                        + BODY
                        + "\r\n0\r\n\r\n"
            },
            {
                "POST /q HTTP/1.1\r\nHost: h\r\n"
                        + needed
                        + "Transfer-Encoding: chunked\r\n\r\n00"
                        + chunk.toUpperCase(Locale.ROOT)
                        + ";name=value\r\n"
                        + BODY
                        + "\r\n000\r\nX-Trailer: 1\r\n\r\n"
            },
            {
                "POST /q HTTP/1.1\r\nHost: h\r\nConnection: keep-alive, close\r\n"
                        + sized
                        + "\r\n"
                        + BODY
            },
        };
    }

    /** Whatever form of the protocol a client chooses, and however its bytes fall into packets. */
    @Test(dataProvider = "forms")
    public void requestOfAnyFormIsTakenOnceAlsoByteByByte(String request) throws Exception {
        atOnce = HIT;
        try (Socket whole = connect(request);
                Socket pieces = connect("")) {
            assertTrue(response(whole).startsWith("HTTP/1.1 200 "));
            pieces.setTcpNoDelay(true);
            for (byte one : request.getBytes(StandardCharsets.UTF_8)) {
                pieces.getOutputStream().write(one);
            }
            assertTrue(response(pieces).startsWith("HTTP/1.1 200 "));
        }
        assertEquals(received.size(), 2);
    }

    @Test
    public void clientThatClosesHasLeft() throws Exception {
        Socket socket = connect(post("/q", "s", BODY));
        assertEquals(received.poll(5, TimeUnit.SECONDS).id(), "s");
        socket.close();
        assertEquals(disconnected.poll(5, TimeUnit.SECONDS).id(), "s");
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
        assertTrue(disconnected.isEmpty());
    }

    @Test
    public void panicEndsItsConnectionAlone() throws Exception {
        try (Socket other = connect(post("/q", "s", BODY))) {
            Query query = received.poll(5, TimeUnit.SECONDS);
            try (Socket socket = connect(post("/q", "panic", BODY))) {
                assertTrue(response(socket).startsWith("HTTP/1.1 500 "));
                assertEquals(disconnected.poll(5, TimeUnit.SECONDS).id(), "panic");
                answer(query, HIT);
                assertTrue(response(other).startsWith("HTTP/1.1 200 "));
            }
        }
    }

    @Test
    public void drainClosesIdleConnectionsAndSendsOthersElsewhereAfterTheirAnswer()
            throws Exception {
        atOnce = HIT;
        try (Socket idle = connect(post("/q", "i", BODY))) {
            response(idle);
            settled();
            atOnce = null;
            try (Socket busy = connect(post("/q", "s", BODY))) {
                received.poll(5, TimeUnit.SECONDS);
                Query query = received.poll(5, TimeUnit.SECONDS);
                loop.run(
                        () -> {
                            server.drain();
                            server.closeIdleConnections();
                        });
                assertEquals(idle.getInputStream().read(), -1);
                answer(query, HIT);
                String response = response(busy);
                assertTrue(
                        response.startsWith("HTTP/1.1 200 ")
                                && response.contains("Connection: close"),
                        response);
                assertEquals(busy.getInputStream().read(), -1);
            }
        }
        assertFalse(disconnected.stream().anyMatch(query -> query.id().equals("i")));
    }

    @Test
    public void aCloseThatLiesUnreadIsReadWhenItIsAskedWhetherTheClientWaits() throws Exception {
        Socket stays = connect(post("/q", "stays", BODY));
        Socket leaves = connect(post("/q", "leaves", BODY));
        var queries = new HashMap<String, Query>();
        for (int i = 0; i < 2; i++) {
            Query query = received.poll(5, TimeUnit.SECONDS);
            queries.put(query.id(), query);
        }
        var waits = new HashMap<String, Boolean>();
        var asked = new CountDownLatch(1);
        Runnable free =
                loop.hold(
                        () -> {
                            queries.values()
                                    .forEach(
                                            query ->
                                                    waits.put(
                                                            query.id(), server.clientWaits(query)));
                            asked.countDown();
                        });
        // Bytes before the end: it is not the first thing that is read.
        leaves.getOutputStream().write("POST /q HTTP/1.1\r\n".getBytes(StandardCharsets.UTF_8));
        leaves.close();
        free.run();
        assertTrue(asked.await(5, TimeUnit.SECONDS));
        assertEquals(waits, Map.of("stays", true, "leaves", false));
        assertEquals(disconnected.poll(5, TimeUnit.SECONDS).id(), "leaves");
        assertEquals((long) loop.call(() -> server.clientsFoundGone()), 1L);
        loop.act(() -> server.answer(queries.get("stays"), new Answer.Rejected(0)));
        assertTrue(response(stays).startsWith("HTTP/1.1 503"));
        // Its end, which the loop tells of later, is told once.
        loop.until(() -> server.connections() <= 1);
        assertTrue(disconnected.isEmpty());
        stays.close();
    }
}
