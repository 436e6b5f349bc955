package sprucehold.node;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.vertx.core.buffer.Buffer;
import java.io.BufferedReader;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.testng.annotations.Test;
import sprucehold.decision.Command;
import sprucehold.decision.DecisionPolicy;
import sprucehold.decision.Event;

/** Tests when the decision policy of a whole gatherer is called, and with which events. */
public class DecisionLoopTest extends GathererTestBed {
    /**
     * Decision policy that blocks at each query until the test releases a permit, and then for
     * longer than the maximum duration of a turn.
     */
    private static final class BlockingPolicy implements DecisionPolicy {
        final BlockingQueue<String> receivedIds = new LinkedBlockingQueue<>();
        final Map<String, Double> timeLeftMs = new ConcurrentHashMap<>();
        final Semaphore permits = new Semaphore(0);

        @Override
        public List<Command> decide(double nowMs, List<Event> events) {
            for (Event event : events) {
                if (event instanceof Event.QueryReceived query) {
                    timeLeftMs.put(query.id(), query.timeLeftMs());
                    receivedIds.add(query.id());
                    permits.acquireUninterruptibly();
                    long turnEnds =
                            System.nanoTime()
                                    + TimeUnit.MILLISECONDS.toNanos(
                                            (long) (2 * DecisionQueue.MAX_TURN_MS));
                    while (System.nanoTime() < turnEnds) {
                        Thread.onSpinWait();
                    }
                }
            }
            return List.of();
        }
    }

    @Test
    public void queryIsDroppedWhenItsClientDisconnectsWhileOtherQueriesAreDecided()
            throws Exception {
        var policy = new BlockingPolicy();
        GathererNode node =
                startNode((seed, deployment) -> policy, NODE_FIELDS, SETTINGS, KNOWN_ENDPOINTS);
        Socket stays = openConnection(port);
        Socket leaves = openConnection(port);
        Socket first = sendQuery(port, "first");
        assertEquals(policy.receivedIds.poll(10, TimeUnit.SECONDS), "first");
        // Both requests are read in one pass over the sockets, and both queries wait for their
        // decision.
        sendQuery(stays, "stays");
        sendQuery(leaves, "leaves");
        policy.permits.release();
        assertEquals(policy.receivedIds.poll(10, TimeUnit.SECONDS), "stays");
        leaves.close();
        policy.permits.release(3);
        Socket last = sendQuery(port, "last");
        assertEquals(policy.receivedIds.poll(10, TimeUnit.SECONDS), "last");
        for (Socket socket : List.of(first, stays, last)) {
            socket.close();
        }
        end(node, DrainSchedule.IMMEDIATE);
    }

    @Test
    public void timeWhileRequestIsUnreadIsSubtractedFromTimeLeft() throws Exception {
        var policy = new BlockingPolicy();
        GathererNode node =
                startNode((seed, deployment) -> policy, NODE_FIELDS, SETTINGS, KNOWN_ENDPOINTS);
        Socket unread = openConnection(port);
        Socket first = sendQuery(port, "first");
        assertEquals(policy.receivedIds.poll(10, TimeUnit.SECONDS), "first");
        // The request stays in the socket's receive buffer while the first query is decided.
        sendQuery(unread, "unread");
        long writtenAt = System.nanoTime();
        LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(50));
        double unreadMs = (System.nanoTime() - writtenAt) / 1e6;
        policy.permits.release(2);
        assertEquals(policy.receivedIds.poll(10, TimeUnit.SECONDS), "unread");
        double timeLeftMs = policy.timeLeftMs.get("unread");
        assertTrue(
                timeLeftMs <= 30_000 - unreadMs,
                timeLeftMs + " ms left after " + unreadMs + " ms unread");
        first.close();
        unread.close();
        end(node, DrainSchedule.IMMEDIATE);
    }

    @Test
    public void scheduledWakeUpFiresForRequestPipelinedBehindAnsweredOne() throws Exception {
        // The first query is answered at once, the second only on the wake-up of the policy.
        DecisionPolicy.Factory factory =
                (seed, deployment) ->
                        (now, events) -> {
                            for (Event event : events) {
                                if (event instanceof Event.QueryReceived query) {
                                    return List.of(
                                            query.id().equals("a")
                                                    ? new Command.RejectQuery("a", 0)
                                                    : new Command.ScheduleWakeUp(20));
                                }
                            }
                            return events.contains(new Event.WakeUp())
                                    ? List.of(new Command.RejectQuery("b", 500))
                                    : List.of();
                        };
        startNode(factory, NODE_FIELDS, SETTINGS, KNOWN_ENDPOINTS);
        String body = "{\"buckets\":[{\"bucket\":0,\"part\":1}],\"body\":\"\"}";
        String request =
                "POST /q HTTP/1.1\r\nHost: h\r\nX-Request-Id: %s\r\nX-Class: q\r\nX-Deadline-Ms: 9000\r\n"
                        + "Content-Length: "
                        + body.length()
                        + "\r\n\r\n"
                        + body;
        try (var socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
            socket.setSoTimeout(5000);
            socket.getOutputStream()
                    .write(
                            (request.formatted("a") + request.formatted("b"))
                                    .getBytes(StandardCharsets.UTF_8));
            var in =
                    new BufferedReader(
                            new InputStreamReader(socket.getInputStream(), StandardCharsets.UTF_8));
            String line;
            do {
                line = in.readLine();
            } while (!line.startsWith("Retry-After"));
            assertEquals(line, "Retry-After: 0.5");
        }
    }

    /**
     * Answers that arrive while the loop is stalled are read one after the other, and none of them
     * may look late because another one was read first.
     */
    @Test
    public void answersThatArriveDuringStallReachPolicyInOneCall() throws Exception {
        var outcomes = new LinkedBlockingQueue<Integer>();
        DecisionPolicy.Factory factory =
                (seed, deployment) ->
                        (now, events) -> {
                            var commands = new ArrayList<Command>();
                            for (Event event : events) {
                                if (event instanceof Event.PartReceived part) {
                                    commands.add(
                                            new Command.SendAttempt(
                                                    part.id(),
                                                    part.id().endsWith("0") ? "a" : "b",
                                                    5000));
                                }
                            }
                            int ended =
                                    (int)
                                            events.stream()
                                                    .filter(Event.AttemptEnded.class::isInstance)
                                                    .count();
                            if (ended > 0) {
                                outcomes.add(ended);
                            }
                            return commands;
                        };
        try (var a = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
                var b = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            a.setSoTimeout(10_000);
            b.setSoTimeout(10_000);
            String entry =
                    "{\"name\":\"%s\",\"address\":\"127.0.0.1:%d\",\"group\":0,\"status\":\"active\"}";
            startNode(
                    factory,
                    NODE_FIELDS,
                    SETTINGS,
                    "\"known\":{\"index\":7,\"snapshot\":true,\"endpoints\":["
                            + entry.formatted("a", a.getLocalPort())
                            + ","
                            + entry.formatted("b", b.getLocalPort())
                            + "]}");
            sendQuery(
                    "s",
                    "{\"buckets\":[{\"bucket\":0,\"part\":0.5},{\"bucket\":1,\"part\":0.5}],\"body\":\"\"}");
            try (Socket first = a.accept();
                    Socket second = b.accept()) {
                first.getInputStream().read();
                second.getInputStream().read();
                Runnable unblock = loop.block(() -> {});
                first.getOutputStream()
                        .write(
                                Buffer.buffer()
                                        .appendIntLE(14)
                                        .appendString("Es.0 hit 5 -\nv")
                                        .getBytes());
                second.getOutputStream()
                        .write(
                                Buffer.buffer()
                                        .appendIntLE(14)
                                        .appendString("Es.1 hit 5 -\nv")
                                        .getBytes());
                unblock.run();
                assertEquals((int) outcomes.poll(5, TimeUnit.SECONDS), 2);
            }
        }
    }

    /**
     * The time that a query waits for its decision counts against its client's deadline, and must
     * not be included in the time that is sent to shard servers.
     */
    @Test
    public void timeInDecisionQueueIsSubtractedFromTimeLeft() throws Exception {
        var timesLeftMs = new LinkedBlockingQueue<Double>();
        DecisionPolicy.Factory factory =
                (seed, deployment) ->
                        (now, events) -> {
                            var commands = new ArrayList<Command>();
                            for (Event event : events) {
                                if (event instanceof Event.QueryReceived query) {
                                    timesLeftMs.add(query.timeLeftMs());
                                    commands.add(new Command.RejectQuery(query.id(), 0));
                                    // The first decision takes 60 ms, and the second query waits
                                    // for it.
                                    long end = System.nanoTime() + 60_000_000;
                                    while (System.nanoTime() < end) {
                                        Thread.onSpinWait();
                                    }
                                }
                            }
                            return commands;
                        };
        startNode(factory, NODE_FIELDS, SETTINGS, KNOWN_ENDPOINTS);
        String body = "{\"buckets\":[{\"bucket\":0,\"part\":1}],\"body\":\"\"}";
        try (var one = new Socket(InetAddress.getLoopbackAddress(), port);
                var other = new Socket(InetAddress.getLoopbackAddress(), port)) {
            // Both connections are accepted, so that the requests that arrive on them while the
            // loop is blocked are read in one pass.
            for (Socket socket : List.of(one, other)) {
                socket.setSoTimeout(10_000);
                socket.getOutputStream()
                        .write(
                                "GET /up HTTP/1.1\r\nHost: h\r\n\r\n"
                                        .getBytes(StandardCharsets.UTF_8));
                assertEquals(socket.getInputStream().read(), 'H');
            }
            Runnable unblock = loop.block(() -> {});
            for (Socket socket : List.of(one, other)) {
                socket.getOutputStream()
                        .write(
                                ("POST /q HTTP/1.1\r\nHost: h\r\nX-Request-Id: "
                                                + socket.getLocalPort()
                                                + "\r\nX-Class: q\r\nX-Deadline-Ms: 9000\r\nContent-Length: "
                                                + body.length()
                                                + "\r\n\r\n"
                                                + body)
                                        .getBytes(StandardCharsets.UTF_8));
            }
            unblock.run();
            double first = timesLeftMs.poll(10, TimeUnit.SECONDS);
            double second = timesLeftMs.poll(10, TimeUnit.SECONDS);
            assertTrue(second <= first - 55, first + " and then " + second);
        }
    }
}
