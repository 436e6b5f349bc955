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

/** Tests the HTTP server with a scripted handler, over plain sockets. */
public class ClientServerTest {
    private static final String BODY = "{\"buckets\":[{\"bucket\":0,\"part\":1}],\"body\":\"c4\"}";
    private static final Answer HIT =
            new Answer.Completed(true, List.of(new Answer.Value(0, Payload.ofUtf8("v"))));

    /** Maximum number of client connections. */
    private static final int MAX_CONNECTIONS = 6;

    /**
     * Time limit of a lingering close, in milliseconds. It exceeds the duration of every test that
     * doesn't test the limit itself.
     */
    private static final long LINGER_MS = 60_000;

    /**
     * Number of pipelined requests, about 44 KB together, far more than a client normally sends at
     * once.
     */
    private static final int PIPELINED_REQUESTS = 400;

    /**
     * Limit on the bytes processed from one connection in an event loop pass, so that other sockets
     * are read soon: two reads, and the rest of a request from the pass before.
     */
    private static final int MAX_BYTES_PER_PASS = 8 * 1024 + 512;

    /** Memory for bodies that are not small, in bytes: two of half the maximum size. */
    private static final long BODY_MEMORY_BYTES = 2 * RequestBody.MAX_BYTES;

    /** Memory that each connection may hold beside it, in bytes. */
    private static final long FREE_BYTES = 8 * 1024;

    private Vertx vertx;
    private TestLoop loop;
    private ClientServer server;
    private int port;
    private volatile boolean ready;
    private volatile double now;
    private volatile Answer immediateAnswer;
    private volatile double unreadForMs;
    private BlockingQueue<Query> received;
    private BlockingQueue<Query> disconnected;
    private BlockingQueue<ConnectionArrival> arrivals;
    private ClientMemory bodyMemory;
    private boolean inPass;
    private int requestsInPass;
    private volatile int maxRequestsInPass;

    @BeforeMethod
    public void start() throws Exception {
        start(LINGER_MS);
    }

    private void start(long lingerMs) throws Exception {
        ready = true;
        now = 0;
        immediateAnswer = null;
        unreadForMs = 0;
        inPass = false;
        maxRequestsInPass = 0;
        bodyMemory = new ClientMemory(BODY_MEMORY_BYTES, FREE_BYTES);
        received = new LinkedBlockingQueue<>();
        disconnected = new LinkedBlockingQueue<>();
        arrivals = new LinkedBlockingQueue<>();
        vertx = Vertx.vertx();
        loop = new TestLoop(vertx);
        var handler =
                new QueryHandler() {
                    @Override
                    public boolean isReady() {
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
                    public boolean isSpent(Query query) {
                        return query.id().equals("spent");
                    }

                    @Override
                    public double earliestArrivalMs(double nowMs, ConnectionArrival arrival) {
                        arrivals.add(arrival);
                        countInPass();
                        return nowMs - unreadForMs;
                    }

                    @Override
                    public void receive(Query query) {
                        received.add(query);
                        if (query.id().equals("panic")) {
                            throw new IllegalStateException("scripted");
                        }
                        if (immediateAnswer != null) {
                            server.answer(query, immediateAnswer);
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
                    server =
                            new ClientServer(
                                    vertx,
                                    10,
                                    MAX_CONNECTIONS,
                                    handler,
                                    () -> now,
                                    lingerMs,
                                    bodyMemory);
                    server.listen(SocketAddress.inetSocketAddress(0, "127.0.0.1"))
                            .onComplete(listening::complete, listening::completeExceptionally);
                });
        port = listening.get(5, TimeUnit.SECONDS).actualPort();
    }

    /**
     * Counts the requests of the current event loop pass. A task submitted while sockets are read
     * runs after the pass, and so marks its end.
     */
    private void countInPass() {
        if (!inPass) {
            inPass = true;
            requestsInPass = 0;
            Vertx.currentContext().runOnContext(none -> inPass = false);
        }
        requestsInPass++;
        maxRequestsInPass = Math.max(maxRequestsInPass, requestsInPass);
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
    public void clientThatPipelinesManyRequestsGetsABoundedShareOfEachPass() throws Exception {
        String request = post("/none", "f", "");
        try (Socket client = connect(request)) {
            assertTrue(response(client).startsWith("HTTP/1.1 404"));
            Runnable unblock = loop.block(() -> {});
            client.getOutputStream()
                    .write(request.repeat(PIPELINED_REQUESTS).getBytes(StandardCharsets.UTF_8));
            unblock.run();
            for (int i = 0; i < PIPELINED_REQUESTS; i++) {
                assertTrue(response(client).startsWith("HTTP/1.1 404"), "request " + i);
            }
        }
        assertTrue(maxRequestsInPass > 0, "no pass was counted");
        assertTrue(
                maxRequestsInPass * request.length() <= MAX_BYTES_PER_PASS,
                maxRequestsInPass + " requests in one pass");
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

    /** Waits until the server has the given number of connections. */
    private void awaitConnections(int connections) throws Exception {
        loop.awaitCondition(() -> server.connectionCount() == connections);
    }

    /**
     * Waits until the server counts all its answers as written, which may happen after the client
     * has read them.
     */
    private void awaitAnswersWritten() throws Exception {
        loop.awaitCondition(() -> server.pendingAnswerCount() == 0);
    }

    private void answer(Query query, Answer answer) {
        loop.run(() -> server.answer(query, answer));
    }

    @Test
    public void timeThatARequestWasUnreadIsSubtractedFromItsDeadline() throws Exception {
        unreadForMs = 200;
        immediateAnswer = HIT;
        try (Socket socket = connect(post("/q", "s", BODY))) {
            assertTrue(response(socket).startsWith("HTTP/1.1 200 "));
        }
        assertEquals(received.remove().timeLeftMs(), 280.0);
    }

    @DataProvider
    Object[][] rejected() {
        return new Object[][] {
            {post("/other", "s", BODY), 404, "no such table type"},
            {post("/", "s", BODY), 404, ""},
            {"GET /q HTTP/1.1\r\nHost: h\r\n\r\n", 405, "Allow: POST"},
            {"DELETE /up HTTP/1.1\r\nHost: h\r\n\r\n", 405, "Allow: GET"},
            {post("/q", "open", BODY), 400, "open"},
            {post("/q", "spent", BODY), 400, "has run"},
            {post("/q", "s", "{}"), 400, "buckets"},
            {post("/q", "s", " ".repeat(64 * 1024 + 1)), 413, "64 KiB"},
        };
    }

    @Test(dataProvider = "rejected")
    public void invalidRequestIsRejectedWithItsReason(String request, int status, String reason)
            throws IOException {
        try (Socket socket = connect(request)) {
            String response = response(socket);
            assertTrue(response.startsWith("HTTP/1.1 " + status + " "), response);
            assertTrue(response.contains(reason), response);
            assertTrue(received.isEmpty());
        }
    }

    private static String framed(String headers, String content) {
        return "POST /q HTTP/1.1\r\nHost: h\r\nX-Request-Id: s\r\nX-Class: q\r\nX-Deadline-Ms: 480\r\n"
                + headers
                + "\r\n\r\n"
                + content;
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
    public void unreadableRequestGetsTheLastAnswerOfItsConnection(String request, int status)
            throws Exception {
        try (Socket socket = connect(request + post("/q", "hidden", BODY))) {
            String response = readToEnd(socket);
            assertTrue(response.matches("(?s)HTTP/1.[01] " + status + " .*"), response);
            assertEquals(response.split("HTTP/1", -1).length, 2, response);
            assertTrue(received.isEmpty(), String.valueOf(received));
        }
    }

    private static String ofVersion(String version, String headers, String content) {
        return framed(headers, content).replace("HTTP/1.1", "HTTP/" + version);
    }

    @DataProvider
    Object[][] hidingRequests() {
        String hidden = post("/q", "hidden", BODY);
        String length = "Content-Length: " + (5 + hidden.length());
        String chunked = "Transfer-Encoding: chunked";
        String keepAlive = "Connection: keep-alive\r\n";
        String lastChunk = "0\r\n\r\n" + hidden;
        var requests = new ArrayList<Object[]>();
        for (String version : List.of("1.0", "1.1", "1.2")) {
            for (String headers :
                    List.of(
                            length + "\r\n" + chunked,
                            chunked + "\r\n" + length,
                            chunked + "\r\nX-Other: 1\r\n" + length,
                            chunked + "\r\ncontent-length:0",
                            "transfer-encoding:\tCHUNKED\r\n" + length,
                            length + "\r\nTransfer-Encoding: identity",
                            "Content-Length: 0\r\n" + length,
                            length + "\r\nContent-Length: 0",
                            "Content-Length: 0\r\nContent-Length: 0")) {
                requests.add(new Object[] {ofVersion(version, keepAlive + headers, lastChunk)});
            }
        }
        requests.add(new Object[] {ofVersion("1.0", keepAlive + chunked, lastChunk)});
        for (String size :
                List.of("100000000", "00100000000", "10000000000000000", "f00000000;a=b")) {
            requests.add(new Object[] {framed(chunked, size + "\r\n\r\n" + hidden)});
            requests.add(new Object[] {framed(chunked, "1\r\n{\r\n" + size + "\r\n\r\n" + hidden)});
        }
        // Digits behind the end of a size must not hide the size of the chunk after it.
        for (String first : List.of("1 fffff", "1\tfffff", "1;fffff", " 1 ;a=fffff", "01 1")) {
            requests.add(
                    new Object[] {framed(chunked, first + "\r\n{\r\n100000000\r\n\r\n" + hidden)});
        }
        return requests.toArray(Object[][]::new);
    }

    /**
     * Guards against a request that is passed on although it is part of the body of another by one
     * of two lengths, in every HTTP version and however its bytes are divided into packets.
     */
    @Test(dataProvider = "hidingRequests")
    public void requestHiddenInABodyIsNotProcessed(String request) throws Exception {
        immediateAnswer = HIT;
        try (Socket whole = connect(request);
                Socket pieces = connect("")) {
            String response = readToEnd(whole);
            assertTrue(response.matches("(?s)HTTP/1.[01] [45].*"), response);
            pieces.setTcpNoDelay(true);
            for (byte one : request.getBytes(StandardCharsets.UTF_8)) {
                pieces.getOutputStream().write(one);
            }
            assertTrue(readToEnd(pieces).matches("(?s)HTTP/1.[01] [45].*"));
        }
        assertTrue(received.isEmpty(), String.valueOf(received));
    }

    private static String largest() {
        return BODY + " ".repeat(RequestBody.MAX_BYTES - BODY.length());
    }

    private void awaitNoBodyMemoryReserved() throws Exception {
        loop.awaitCondition(() -> bodyMemory.reservedBytes() == 0);
    }

    /** Guards against the end of the process by hundreds of large requests at once. */
    @Test
    public void largeBodyIsRejectedWhileOthersOccupyTheMemoryOfBodies() throws Exception {
        try (Socket open = connect(post("/q", "first", largest()));
                Socket small = connect("");
                Socket large = connect("")) {
            Query first = received.poll(5, TimeUnit.SECONDS);
            large.getOutputStream()
                    .write(post("/q", "second", largest()).getBytes(StandardCharsets.UTF_8));
            String refusal = readToEnd(large);
            assertTrue(refusal.startsWith("HTTP/1.1 503 "), refusal);
            small.getOutputStream()
                    .write(post("/q", "small", BODY).getBytes(StandardCharsets.UTF_8));
            Query second = received.poll(5, TimeUnit.SECONDS);
            assertEquals(second.id(), "small");
            answer(first, HIT);
            answer(second, HIT);
            assertTrue(response(open).startsWith("HTTP/1.1 200 "));
            assertTrue(response(small).startsWith("HTTP/1.1 200 "));
            awaitNoBodyMemoryReserved();
            small.getOutputStream()
                    .write(post("/q", "third", largest()).getBytes(StandardCharsets.UTF_8));
            assertEquals(received.poll(5, TimeUnit.SECONDS).id(), "third");
        }
        awaitNoBodyMemoryReserved();
    }

    /** Guards against the end of the process by answers that clients don't read. */
    @Test
    public void completedAnswerFailsWhileUnreadAnswersOccupyTheMemory() throws Exception {
        String value = "v".repeat((int) BODY_MEMORY_BYTES);
        immediateAnswer =
                new Answer.Completed(true, List.of(new Answer.Value(0, Payload.ofUtf8(value))));
        try (Socket socket = connect(post("/q", "large", BODY))) {
            assertTrue(response(socket).startsWith("HTTP/1.1 502 "));
            assertEquals((long) loop.call(() -> server.refusedForMemory()), 1L);
            // The connection stays open, and a small answer is always granted.
            immediateAnswer = HIT;
            socket.getOutputStream().write(post("/q", "t", BODY).getBytes(StandardCharsets.UTF_8));
            assertTrue(response(socket).startsWith("HTTP/1.1 200 "));
        }
        awaitNoBodyMemoryReserved();
    }

    @DataProvider
    Object[][] endsOfLargeRequests() {
        String unreadable = "x".repeat(RequestBody.MAX_BYTES);
        String whole = post("/q", "s", largest());
        return new Object[][] {
            {whole.substring(0, whole.length() - 1), false},
            {whole, false},
            {post("/q", "s", unreadable), true},
            {post("/q", "open", largest()), true},
            {post("/q", "panic", largest()), true},
            {post("/none", "s", largest()), true},
            {framed("Transfer-Encoding: chunked", "ffff\r\n" + unreadable + "\r\n"), true},
            {
                framed(
                        "Transfer-Encoding: chunked",
                        "f000\r\n" + unreadable.substring(4096) + "zz"),
                true
            },
        };
    }

    @Test(dataProvider = "endsOfLargeRequests")
    public void memoryOfABodyIsFreedHoweverItsRequestEnds(String request, boolean answered)
            throws Exception {
        try (Socket socket = connect(request)) {
            if (answered) {
                assertTrue(response(socket).matches("(?s)HTTP/1.1 [45].*"));
            } else {
                loop.awaitCondition(() -> bodyMemory.reservedBytes() > 0);
            }
        }
        awaitNoBodyMemoryReserved();
    }

    @DataProvider
    Object[][] fieldCounts() {
        return new Object[][] {
            {StrictDecoder.MAX_FIELDS, 200}, {StrictDecoder.MAX_FIELDS + 1, 431},
        };
    }

    @Test(dataProvider = "fieldCounts")
    public void numberOfHeaderFieldsIsLimited(int fields, int status) throws Exception {
        String request = "GET /up HTTP/1.1\r\n" + "a:b\r\n".repeat(fields) + "\r\n";
        try (Socket socket = connect(request + request)) {
            String response = response(socket);
            assertTrue(response.startsWith("HTTP/1.1 " + status + " "), response);
        }
    }

    /** Reads until the server closes the connection; a reset throws. */
    private static String readToEnd(Socket socket) throws IOException {
        var bytes = new ByteArrayOutputStream();
        socket.getInputStream().transferTo(bytes);
        return bytes.toString(StandardCharsets.UTF_8);
    }

    @DataProvider
    Object[][] lastAnswers() {
        String length = "Content-Length: ";
        return new Object[][] {
            // The request, the status of its answer, and the bytes sent before the answer is read.
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
     * A close with unread input would reset the connection, and the kernel would drop an answer
     * that it is still delivering.
     */
    @Test(dataProvider = "lastAnswers")
    public void lastAnswerIsDeliveredDespiteUnreadInputBehindTheRequest(
            String request, int status, String more) throws Exception {
        immediateAnswer = HIT;
        try (Socket socket = connect(request + more)) {
            String response = readToEnd(socket);
            assertTrue(response.matches("(?s)HTTP/1.[01] " + status + " .*"), response);
            // The server has shut its output down and continues to read: requests sent now neither
            // reset the connection nor reach the handler. A reset would arrive between the two
            // writes.
            for (int i = 0; i < 2; i++) {
                socket.getOutputStream()
                        .write(post("/q", "u", BODY).getBytes(StandardCharsets.UTF_8));
                loop.awaitCondition(() -> server.connectionCount() == 1);
            }
            assertEquals(socket.getInputStream().read(), -1);
        }
        assertTrue(
                received.stream()
                        .noneMatch(query -> query.id().equals("t") || query.id().equals("u")),
                String.valueOf(received));
    }

    @Test
    public void lingeringConnectionIsClosedAfterItsTimeLimit() throws Exception {
        stop();
        start(100);
        try (Socket silent = connect("nothing\r\n\r\n")) {
            assertTrue(readToEnd(silent).contains(" 400 "));
            awaitConnections(0);
        }
    }

    @Test
    public void lingeringConnectionIsClosedAfterItsByteLimit() throws Exception {
        try (Socket client = connect("nothing\r\n\r\n")) {
            assertTrue(readToEnd(client).contains(" 400 "));
            awaitConnections(1);
            byte[] bytes = new byte[64 * 1024];
            assertThrows(
                    IOException.class,
                    () -> {
                        // Many times the limit on discarded bytes and the size of the buffers of
                        // both ends.
                        for (int i = 0; i < 1024; i++) {
                            client.getOutputStream().write(bytes);
                        }
                    });
            awaitConnections(0);
        }
    }

    /**
     * A request that is complete in the kernel's receive buffer counts as received, and its
     * connection as not idle, however long the request has been unread.
     */
    @Test(dataProvider = "overdue")
    public void unreadRequestOnAnOverdueConnectionIsAnswered(String before, double age)
            throws Exception {
        immediateAnswer = HIT;
        try (Socket socket = connect(before)) {
            awaitConnections(1);
            if (!before.isEmpty()) {
                response(socket);
                awaitAnswersWritten();
            }
            // The event loop is blocked while the request arrives and time passes; then it sweeps
            // before it reads.
            Runnable unblock = loop.block(() -> server.sweep());
            socket.getOutputStream().write(post("/q", "t", BODY).getBytes(StandardCharsets.UTF_8));
            double later = now + age;
            now = later;
            unblock.run();
            assertTrue(response(socket).startsWith("HTTP/1.1 200 "));
        }
    }

    @DataProvider
    Object[][] overdue() {
        return new Object[][] {{"", 2600}, {post("/q", "s", BODY), 20_100}};
    }

    @DataProvider
    Object[][] pipelines() {
        // Number of requests pipelined behind the first, and the additional length of each.
        return new Object[][] {{1, 0}, {12, 0}, {40, 0}, {3, 20_000}, {200, 100}};
    }

    /**
     * The HTTP server stops reading while pipelined requests wait behind an open one, so by itself
     * it would detect the close only after all of them had been processed.
     */
    @Test(dataProvider = "pipelines")
    public void clientThatDisconnectsWithPipelinedRequestsHasNoneOfThemProcessed(
            int behind, int additionalLength) throws Exception {
        var requests = new StringBuilder(post("/q", "s", BODY));
        for (int i = 0; i < behind; i++) {
            requests.append(
                    post(
                            "/q",
                            "behind" + i,
                            BODY.replace("c4", "c4".repeat(1 + additionalLength / 2))));
        }
        Socket socket = connect(requests.toString());
        Query query = received.poll(5, TimeUnit.SECONDS);
        assertEquals(query.id(), "s");
        socket.close();
        assertEquals(disconnected.poll(5, TimeUnit.SECONDS), query);
        answer(query, HIT);
        awaitConnections(0);
        assertTrue(received.isEmpty(), String.valueOf(received));
    }

    @Test
    public void clientThatExceedsTheInputBufferGetsOneLastAnswer() throws Exception {
        try (Socket socket =
                connect(
                        post("/q", "s", BODY)
                                + post("/q", "t", BODY.replace("c4", "c4".repeat(2_000_000))))) {
            Query query = received.poll(5, TimeUnit.SECONDS);
            // Wait until the input has exceeded the buffer limit.
            loop.awaitCondition(() -> server.overflows() > 0);
            answer(query, HIT);
            String response = readToEnd(socket);
            assertTrue(
                    response.startsWith("HTTP/1.1 200 ") && response.contains("Connection: close"),
                    response);
            assertTrue(received.isEmpty(), String.valueOf(received));
        }
    }

    @DataProvider
    Object[][] incomplete() {
        return new Object[][] {
            {""},
            {"POST /q HT"},
            {framed("Content-Length: 9", "{")},
            {framed("Transfer-Encoding: chunked", "5\r\n{")}
        };
    }

    @Test(dataProvider = "incomplete")
    public void incompleteRequestAfterTheTimeoutClosesOnlyItsConnection(String bytes)
            throws Exception {
        try (Socket other = connect(post("/q", "s", BODY));
                Socket socket = connect(bytes)) {
            Query query = received.poll(5, TimeUnit.SECONDS);
            awaitConnections(2);
            now = 2400;
            answer(query, HIT);
            assertTrue(response(other).startsWith("HTTP/1.1 200 "));
            now = 2501;
            assertEquals(readToEnd(socket), "");
            immediateAnswer = HIT;
            other.getOutputStream().write(post("/q", "t", BODY).getBytes(StandardCharsets.UTF_8));
            assertTrue(response(other).startsWith("HTTP/1.1 200 "));
        }
    }

    @Test
    public void surplusSilentConnectionsAreClosedAndOpenQueriesAreAnswered() throws Exception {
        var sockets = new ArrayList<Socket>();
        try (Socket busy = connect(post("/q", "s", BODY))) {
            Query query = received.poll(5, TimeUnit.SECONDS);
            for (int i = 0; i < 2 * MAX_CONNECTIONS; i++) {
                sockets.add(connect(""));
            }
            assertEquals(readToEnd(sockets.get(0)), "");
            sockets.add(connect(post("/q", "t", BODY)));
            assertEquals(received.poll(5, TimeUnit.SECONDS).id(), "t");
            answer(query, HIT);
            String response = response(busy);
            assertTrue(response.startsWith("HTTP/1.1 200 "), response);
            assertTrue(response.contains("Connection: close"), response);
            assertEquals(readToEnd(busy), "");
        } finally {
            for (Socket socket : sockets) {
                socket.close();
            }
        }
    }

    @DataProvider
    Object[][] idleTimes() {
        return new Object[][] {
            {MAX_CONNECTIONS / 2, 19_900, 20_001}, {MAX_CONNECTIONS / 2 + 1, 1900, 2001}
        };
    }

    @Test(dataProvider = "idleTimes")
    public void idleConnectionsAreClosedAfterTheirTimeoutAndEarlierWhenCrowded(
            int connections, double reusedAfterMs, double closedAfterMs) throws Exception {
        immediateAnswer = HIT;
        try (Socket first = connect(post("/q", "s", BODY))) {
            response(first);
            awaitAnswersWritten();
            now = reusedAfterMs;
            var others = new ArrayList<Socket>();
            for (int i = 1; i < connections; i++) {
                others.add(connect(""));
            }
            awaitConnections(connections);
            first.getOutputStream().write(post("/q", "t", BODY).getBytes(StandardCharsets.UTF_8));
            assertTrue(response(first).startsWith("HTTP/1.1 200 "));
            awaitAnswersWritten();
            double later = now + closedAfterMs;
            now = later;
            assertEquals(readToEnd(first), "");
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
    public void answerHasItsStatusAndText(Answer answer, String status, String text)
            throws IOException {
        immediateAnswer = answer;
        try (Socket socket = connect(post("/q/more", "s", BODY))) {
            String response = response(socket);
            assertTrue(response.startsWith("HTTP/1.1 " + status + " "), response);
            assertTrue(response.contains(text), response);
            assertEquals(response.contains("Retry-After"), text.startsWith("Retry-After"));
        }
    }

    @Test
    public void healthCheckReportsWhetherQueriesCanBeServed() throws IOException {
        for (boolean serving : new boolean[] {true, false}) {
            ready = serving;
            try (Socket socket = connect("GET /up HTTP/1.1\r\nHost: h\r\n\r\n")) {
                assertTrue(response(socket).startsWith(serving ? "HTTP/1.1 200" : "HTTP/1.1 503"));
            }
        }
    }

    @Test
    public void chunkedAndPipelinedRequestsAreAllAnsweredInOrder() throws IOException {
        immediateAnswer = HIT;
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

    /** Every valid form of a request is accepted, however its bytes are divided into packets. */
    @Test(dataProvider = "forms")
    public void requestOfEveryValidFormIsProcessedOnceWholeAndByteByByte(String request)
            throws Exception {
        immediateAnswer = HIT;
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
    public void closeBeforeTheAnswerIsReportedAsDisconnection() throws Exception {
        Socket socket = connect(post("/q", "s", BODY));
        assertEquals(received.poll(5, TimeUnit.SECONDS).id(), "s");
        socket.close();
        assertEquals(disconnected.poll(5, TimeUnit.SECONDS).id(), "s");
    }

    @Test
    public void closeAfterTheAnswerIsNotReportedAsDisconnection() throws Exception {
        immediateAnswer = HIT;
        try (Socket socket = connect(post("/q", "s", BODY))) {
            response(socket);
        }
        try (Socket socket = connect(post("/q", "t", BODY))) {
            response(socket);
        }
        assertTrue(disconnected.isEmpty());
    }

    @Test
    public void panicClosesOnlyItsConnection() throws Exception {
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
    public void drainClosesIdleConnectionsAndOthersAfterTheirAnswer() throws Exception {
        immediateAnswer = HIT;
        try (Socket idle = connect(post("/q", "i", BODY))) {
            response(idle);
            awaitAnswersWritten();
            immediateAnswer = null;
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
    public void unreadCloseIsDetectedWhenTheServerIsAskedWhetherTheClientWaits() throws Exception {
        Socket stays = connect(post("/q", "stays", BODY));
        Socket leaves = connect(post("/q", "leaves", BODY));
        var queries = new HashMap<String, Query>();
        for (int i = 0; i < 2; i++) {
            Query query = received.poll(5, TimeUnit.SECONDS);
            queries.put(query.id(), query);
        }
        var waits = new HashMap<String, Boolean>();
        var asked = new CountDownLatch(1);
        Runnable unblock =
                loop.block(
                        () -> {
                            queries.values()
                                    .forEach(
                                            query ->
                                                    waits.put(
                                                            query.id(),
                                                            server.isClientConnected(query)));
                            asked.countDown();
                        });
        // Bytes before the end of the stream, so that the end is not read first.
        leaves.getOutputStream().write("POST /q HTTP/1.1\r\n".getBytes(StandardCharsets.UTF_8));
        leaves.close();
        unblock.run();
        assertTrue(asked.await(5, TimeUnit.SECONDS));
        assertEquals(waits, Map.of("stays", true, "leaves", false));
        assertEquals(disconnected.poll(5, TimeUnit.SECONDS).id(), "leaves");
        assertEquals((long) loop.call(() -> server.clientsFoundDisconnected()), 1L);
        loop.runAndWait(() -> server.answer(queries.get("stays"), new Answer.Rejected(0)));
        assertTrue(response(stays).startsWith("HTTP/1.1 503"));
        // The disconnection, which the event loop detects again later, is reported only once.
        loop.awaitCondition(() -> server.connectionCount() <= 1);
        assertTrue(disconnected.isEmpty());
        stays.close();
    }
}
