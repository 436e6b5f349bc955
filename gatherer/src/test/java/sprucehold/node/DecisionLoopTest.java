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

/** When the decisions of a whole gatherer are called, and with what. */
public class DecisionLoopTest extends GathererTestBed {
    /**
     * Decisions that stand still at each query until they are told to go on, and then for longer
     * than a turn may last.
     */
    private static final class Halting implements DecisionPolicy {
        final BlockingQueue<String> taken = new LinkedBlockingQueue<>();
        final Map<String, Double> timeLeftMs = new ConcurrentHashMap<>();
        final Semaphore goOn = new Semaphore(0);

        @Override
        public List<Command> decide(double nowMs, List<Event> events) {
            for (Event event : events) {
                if (event instanceof Event.QueryReceived query) {
                    timeLeftMs.put(query.id(), query.timeLeftMs());
                    taken.add(query.id());
                    goOn.acquireUninterruptibly();
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
    public void clientThatLeavesWhileOthersAreDecidedUponGetsNothingSentOn() throws Exception {
        var halting = new Halting();
        GathererNode node = node((seed, deployment) -> halting, PLACE, SETTINGS, KNOWN);
        Socket stays = connected(port);
        Socket leaves = connected(port);
        Socket first = ask(port, "first");
        assertEquals(halting.taken.poll(10, TimeUnit.SECONDS), "first");
        // Both are read in one pass over the sockets, and both wait to be decided upon.
        ask(stays, "stays");
        ask(leaves, "leaves");
        halting.goOn.release();
        assertEquals(halting.taken.poll(10, TimeUnit.SECONDS), "stays");
        leaves.close();
        halting.goOn.release(3);
        Socket last = ask(port, "last");
        assertEquals(halting.taken.poll(10, TimeUnit.SECONDS), "last");
        for (Socket socket : List.of(first, stays, last)) {
            socket.close();
        }
        end(node, DrainSchedule.IMMEDIATE);
    }

    @Test
    public void timeInWhichARequestLayUnreadIsNotGrantedToIt() throws Exception {
        var halting = new Halting();
        GathererNode node = node((seed, deployment) -> halting, PLACE, SETTINGS, KNOWN);
        Socket unread = connected(port);
        Socket first = ask(port, "first");
        assertEquals(halting.taken.poll(10, TimeUnit.SECONDS), "first");
        // It lies in the system's buffer for as long as the first is decided upon.
        ask(unread, "unread");
        long writtenAt = System.nanoTime();
        LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(50));
        double unreadMs = (System.nanoTime() - writtenAt) / 1e6;
        halting.goOn.release(2);
        assertEquals(halting.taken.poll(10, TimeUnit.SECONDS), "unread");
        double timeLeftMs = halting.timeLeftMs.get("unread");
        assertTrue(
                timeLeftMs <= 30_000 - unreadMs,
                timeLeftMs + " ms left after " + unreadMs + " ms unread");
        first.close();
        unread.close();
        end(node, DrainSchedule.IMMEDIATE);
    }

    @Test
    public void requestsOnTheHeelsOfAnAnswerAreWokenFor() throws Exception {
        // The first query is answered at once, the second only when the decisions are woken.
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
        node(factory, PLACE, SETTINGS, KNOWN);
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
     * Of what comes while the loop is stalled, nothing may look late because something else was
     * read first.
     */
    @Test
    public void answersThatAreThereTogetherAreDecidedUponTogether() throws Exception {
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
            node(
                    factory,
                    PLACE,
                    SETTINGS,
                    "\"known\":{\"index\":7,\"snapshot\":true,\"endpoints\":["
                            + entry.formatted("a", a.getLocalPort())
                            + ","
                            + entry.formatted("b", b.getLocalPort())
                            + "]}");
            ask(
                    "s",
                    "{\"buckets\":[{\"bucket\":0,\"part\":0.5},{\"bucket\":1,\"part\":0.5}],\"body\":\"\"}");
            try (Socket first = a.accept();
                    Socket second = b.accept()) {
                first.getInputStream().read();
                second.getInputStream().read();
                Runnable free = loop.hold(() -> {});
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
                free.run();
                assertEquals((int) outcomes.poll(5, TimeUnit.SECONDS), 2);
            }
        }
    }

    /**
     * What a query waits for its decision is no longer left to its client, and no shard server may
     * be told that it is.
     */
    @Test
    public void timeInTheQueueOfDecisionsIsTakenFromTheClientsTime() throws Exception {
        var left = new LinkedBlockingQueue<Double>();
        DecisionPolicy.Factory factory =
                (seed, deployment) ->
                        (now, events) -> {
                            var commands = new ArrayList<Command>();
                            for (Event event : events) {
                                if (event instanceof Event.QueryReceived query) {
                                    left.add(query.timeLeftMs());
                                    commands.add(new Command.RejectQuery(query.id(), 0));
                                    // The first decision takes this long, and the second query
                                    // waits for it.
                                    long end = System.nanoTime() + 60_000_000;
                                    while (System.nanoTime() < end) {
                                        Thread.onSpinWait();
                                    }
                                }
                            }
                            return commands;
                        };
        node(factory, PLACE, SETTINGS, KNOWN);
        String body = "{\"buckets\":[{\"bucket\":0,\"part\":1}],\"body\":\"\"}";
        try (var one = new Socket(InetAddress.getLoopbackAddress(), port);
                var other = new Socket(InetAddress.getLoopbackAddress(), port)) {
            // Both connections are up, so that what comes on them in the hold is read in one pass.
            for (Socket socket : List.of(one, other)) {
                socket.setSoTimeout(10_000);
                socket.getOutputStream()
                        .write(
                                "GET /up HTTP/1.1\r\nHost: h\r\n\r\n"
                                        .getBytes(StandardCharsets.UTF_8));
                assertEquals(socket.getInputStream().read(), 'H');
            }
            Runnable free = loop.hold(() -> {});
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
            free.run();
            double first = left.poll(10, TimeUnit.SECONDS);
            double second = left.poll(10, TimeUnit.SECONDS);
            assertTrue(second <= first - 55, first + " and then " + second);
        }
    }
}
