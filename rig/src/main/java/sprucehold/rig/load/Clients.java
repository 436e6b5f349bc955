package sprucehold.rig.load;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetClientOptions;
import io.vertx.core.net.SocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.DoubleSupplier;
import java.util.function.Function;
import java.util.function.Predicate;
import sprucehold.rig.fault.LinkConditions;
import sprucehold.rig.link.ShapedConnections;
import sprucehold.rig.link.ShapedSocket;
import sprucehold.rig.plan.Plan;
import sprucehold.rig.script.Fault;
import sprucehold.rig.script.Script;
import sprucehold.standin.ledger.Ledger;
import sprucehold.standin.ledger.Seen;

/**
 * All clients of a run. They form an open loop: each query is sent at its planned time, on an idle
 * connection or a new one. The ledger records the requests and answers, and a listener receives the
 * end of each query as the client saw it.
 */
public final class Clients {
    private static final ObjectMapper JSON = new ObjectMapper();

    /** How a query ended for its client. */
    public enum End {
        WHOLE,
        PART,
        THROTTLED,
        ABANDONED,
        CLOSED,
        NO_ANSWER,
        LEFT,
        NOBODY
    }

    /** Receives the end of each planned query once, after all its retries. */
    public interface Listener {
        /**
         * @param atMs the time at which the query ended for the client, by the run's clock
         * @param sentLateMs how much later than planned the rig began to send the query
         */
        void ended(Plan.PlannedQuery query, double atMs, End end, double sentLateMs);
    }

    private final Vertx vertx;
    private final ShapedConnections shapedConnections;
    private final DoubleSupplier clock;
    private final Ledger ledger;
    private final Script script;
    private final SiteBalancer front;
    private final Function<String, SocketAddress> address;
    private final Predicate<String> killed;
    private final Listener listener;
    private final NetClient net;
    private final Map<String, Deque<Link>> idle = new HashMap<>();
    private final Set<Link> links = new LinkedHashSet<>();
    private int open;

    /**
     * @param address returns the address of a gatherer
     * @param killed whether a gatherer was killed and has not been started again
     */
    public Clients(
            Vertx vertx,
            ShapedConnections shapedConnections,
            DoubleSupplier clock,
            Ledger ledger,
            Script script,
            SiteBalancer front,
            Function<String, SocketAddress> address,
            Predicate<String> killed,
            Listener listener) {
        this.vertx = vertx;
        this.shapedConnections = shapedConnections;
        this.clock = clock;
        this.ledger = ledger;
        this.script = script;
        this.front = front;
        this.address = address;
        this.killed = killed;
        this.listener = listener;
        // The connect timeout is longer than any client waits, so that the wait timer of the client
        // ends the wait first.
        this.net =
                vertx.createNetClient(
                        new NetClientOptions().setTcpNoDelay(true).setConnectTimeout(60_000));
    }

    /** Sends a planned query now. */
    public void sendQuery(Plan.PlannedQuery query, double plannedMs) {
        open++;
        new ClientQuery(query, clock.getAsDouble() - plannedMs).start(query.id());
    }

    /** Returns the number of queries that have not ended for their clients. */
    public int open() {
        return open;
    }

    /** Closes the idle connections to a gatherer. */
    public void closeIdle(String gatherer) {
        links.stream()
                .filter(link -> link.gatherer.equals(gatherer) && link.pending == null)
                .toList()
                .forEach(link -> link.socket.close());
    }

    public void close() {
        Set.copyOf(links).forEach(link -> link.socket.reset());
        net.close();
    }

    /** One planned query of a client, through all its retries. */
    private final class ClientQuery {
        final Plan.PlannedQuery query;
        final Script.Load load;
        final Script.Kind kind;
        final RetryBehaviour persistence;
        final double sentLateMs;
        String id;
        Link link;
        boolean requestSent;
        boolean sentAgain;
        long waitTimer = -1;

        /** Time at which the query timeout ends, counted from the first selection of a gatherer. */
        double timeoutAtMs;

        ClientQuery(Plan.PlannedQuery query, double sentLateMs) {
            this.query = query;
            this.load = script.load().get(query.load());
            this.kind =
                    script.tableTypes().stream()
                            .filter(k -> k.type().name().equals(load.tableType()))
                            .findFirst()
                            .orElseThrow();
            this.persistence = new RetryBehaviour(load, query.id().hashCode());
            this.sentLateMs = sentLateMs;
        }

        void start(String requestId) {
            id = requestId;
            requestSent = false;
            sentAgain = false;
            link = null;
            double maxWaitMs = Math.min(load.leavesMs(), kind.timeoutMs() + LATE_ANSWER_MS);
            timeoutAtMs = clock.getAsDouble() + kind.timeoutMs();
            waitTimer = vertx.setTimer(Math.max(1, (long) maxWaitMs), elapsed -> waitEnded());
            connect();
        }

        private void connect() {
            if (timeLeftMs() < 1) {
                // No gatherer was found in time, and a query that has no time left is not sent.
                end(End.NOBODY);
                return;
            }
            String site = "clients@" + load.site();
            String gatherer = front.next(clock.getAsDouble(), load.site());
            if (gatherer == null) {
                end(End.NOBODY);
                return;
            }
            Deque<Link> idleLinks =
                    idle.computeIfAbsent(site + " " + gatherer, key -> new ArrayDeque<>());
            Link reused = idleLinks.pollLast();
            if (reused != null) {
                reused.send(this);
                return;
            }
            LinkConditions linkState = shapedConnections.linkFaults().conditions(site, gatherer);
            if (linkState.cut() == Fault.Mode.SILENT || linkState.halfOpen()) {
                // The connection is never established; the client waits.
                return;
            }
            String attemptId = id;
            if (linkState.cut() != null) {
                connectFailed();
                return;
            }
            net.connect(address.apply(gatherer))
                    .onComplete(
                            socket -> {
                                var opened = new Link(site, gatherer);
                                opened.socket =
                                        shapedConnections.shape(socket, gatherer, site, opened);
                                links.add(opened);
                                if (id != null
                                        && id.equals(attemptId)
                                        && link == null
                                        && timeLeftMs() >= 1) {
                                    opened.send(this);
                                } else {
                                    opened.keep();
                                }
                            },
                            refused -> {
                                if (id != null && id.equals(attemptId)) {
                                    connectFailed();
                                }
                            });
        }

        /**
         * Returns the remaining time, which is sent to the gatherer as the deadline. If connecting
         * took long, less than the whole query timeout is left.
         */
        long timeLeftMs() {
            return (long) (timeoutAtMs - clock.getAsDouble());
        }

        /**
         * Handles a connection that could not be opened, so that nothing was sent. Tries the next
         * gatherer after a short wait, as a load balancer does.
         */
        void connectFailed() {
            String attemptId = id;
            vertx.setTimer(
                    RECONNECT_DELAY_MS,
                    waited -> {
                        if (id != null && id.equals(attemptId) && link == null) {
                            connect();
                        }
                    });
        }

        private void waitEnded() {
            waitTimer = -1;
            boolean left = load.leavesMs() < kind.timeoutMs() + LATE_ANSWER_MS;
            Link current = link;
            if (current != null) {
                link = null;
                current.pending = null;
                if (requestSent && left) {
                    ledger.add(new Seen.Left(clock.getAsDouble(), id));
                }
                current.socket.close();
            }
            end(left ? End.LEFT : End.NO_ANSWER);
        }

        void answered(int status, double retryAfterMs, JsonNode body, double readMs) {
            var values = new TreeMap<Integer, String>();
            body.path("found")
                    .forEach(
                            found ->
                                    values.put(
                                            found.path("bucket").intValue(),
                                            found.path("item").asText()));
            boolean whole = body.path("finished").booleanValue();
            Seen.Answer how =
                    status == 200
                            ? Seen.Answer.COMPLETED
                            : status == 503 || status == 429
                                    ? Seen.Answer.THROTTLED
                                    : Seen.Answer.ABANDONED;
            ledger.add(new Seen.Answered(readMs, id, how, whole, values));
            link = null;
            double wait = how == Seen.Answer.THROTTLED ? persistence.throttled(retryAfterMs) : -1;
            if (wait >= 0) {
                vertx.cancelTimer(waitTimer);
                id = null;
                vertx.setTimer(
                        Math.max(1, (long) wait), waited -> start(persistence.id(query.id())));
            } else {
                end(
                        how == Seen.Answer.COMPLETED
                                ? whole ? End.WHOLE : End.PART
                                : how == Seen.Answer.THROTTLED ? End.THROTTLED : End.ABANDONED);
            }
        }

        /**
         * Handles a connection that ended without an answer. If the gatherer closed a reused
         * connection before it sent anything, the query is sent once more. If the gatherer was
         * killed, it is unknown whether the query ran, so it is not sent again. If a fault broke
         * the link, the gatherer assumes that the client has left, and the query ends as left by
         * its client.
         */
        void closed(boolean byPeer, boolean reused, String gatherer) {
            link = null;
            if (requestSent && !byPeer) {
                ledger.add(new Seen.Left(clock.getAsDouble(), id));
                end(End.LEFT);
            } else if (!requestSent || reused && !sentAgain && !killed.test(gatherer)) {
                sentAgain |= requestSent;
                connectFailed();
            } else {
                ledger.add(
                        new Seen.Answered(
                                clock.getAsDouble(), id, Seen.Answer.CLOSED, false, Map.of()));
                end(End.CLOSED);
            }
        }

        private void end(End how) {
            vertx.cancelTimer(waitTimer);
            id = null;
            open--;
            listener.ended(query, clock.getAsDouble(), how, sentLateMs);
        }
    }

    /**
     * Extra time for which a client still reads an answer after its query timeout, in milliseconds.
     * An answer within it is late; one that is still missing afterwards is lost.
     */
    private static final double LATE_ANSWER_MS = 500;

    private static final long RECONNECT_DELAY_MS = 20;

    /** One connection from the clients of a site to a gatherer. */
    private final class Link implements ShapedSocket.Owner {
        final String site;
        final String gatherer;
        ShapedSocket socket;
        ClientQuery pending;
        Buffer read = Buffer.buffer();
        int sent;
        boolean closed;

        Link(String site, String gatherer) {
            this.site = site;
            this.gatherer = gatherer;
        }

        void send(ClientQuery clientQuery) {
            pending = clientQuery;
            clientQuery.link = this;
            sent++;
            String type = clientQuery.load.tableType();
            var parts = new StringBuilder();
            clientQuery
                    .query
                    .weights()
                    .forEach(
                            (segment, weight) ->
                                    parts.append(parts.isEmpty() ? "" : ",")
                                            .append("{\"bucket\":")
                                            .append(segment)
                                            .append(",\"part\":")
                                            .append(weight)
                                            .append('}'));
            String body =
                    "{\"buckets\":["
                            + parts
                            + "],\"body\":\""
                            + type
                            + "."
                            + clientQuery.query.id()
                            + "\"}";
            long timeout = clientQuery.timeLeftMs();
            String head =
                    "POST /"
                            + type
                            + " HTTP/1.1\r\nHost: rig\r\nX-Request-Id: "
                            + clientQuery.id
                            + "\r\nX-Class: "
                            + type
                            + "\r\nX-Tenant: "
                            + clientQuery.load.customer()
                            + "\r\nX-Deadline-Ms: "
                            + timeout
                            + "\r\nContent-Length: "
                            + body.length()
                            + "\r\n\r\n";
            String id = clientQuery.id;
            socket.write(
                    Buffer.buffer(head + body),
                    () -> {
                        clientQuery.requestSent = true;
                        ledger.add(
                                new Seen.Asked(
                                        clock.getAsDouble(),
                                        gatherer,
                                        id,
                                        type,
                                        timeout,
                                        clientQuery.query.weights()));
                    });
        }

        void keep() {
            if (!closed && !front.isNotAdmitted(gatherer)) {
                idle.computeIfAbsent(site + " " + gatherer, key -> new ArrayDeque<>())
                        .addLast(this);
            } else if (!closed) {
                socket.close();
            }
        }

        @Override
        public void received(Buffer bytes, double readMs) {
            read.appendBuffer(bytes);
            String text = read.toString(StandardCharsets.ISO_8859_1);
            int headEnd = text.indexOf("\r\n\r\n");
            if (headEnd < 0) {
                return;
            }
            Map<String, String> head = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
            String[] lines = text.substring(0, headEnd).split("\r\n");
            for (int i = 1; i < lines.length; i++) {
                int colon = lines[i].indexOf(':');
                head.put(
                        lines[i].substring(0, colon).strip(),
                        lines[i].substring(colon + 1).strip());
            }
            int length = Integer.parseInt(head.getOrDefault("Content-Length", "0"));
            if (text.length() < headEnd + 4 + length) {
                return;
            }
            JsonNode body = json(text.substring(headEnd + 4, headEnd + 4 + length));
            read = read.getBuffer(headEnd + 4 + length, read.length());
            ClientQuery clientQuery = pending;
            pending = null;
            if ("close".equalsIgnoreCase(head.get("Connection"))) {
                socket.close();
            } else {
                keep();
            }
            if (clientQuery != null) {
                clientQuery.answered(
                        Integer.parseInt(lines[0].split(" ")[1]),
                        1000 * Double.parseDouble(head.getOrDefault("Retry-After", "0")),
                        body,
                        readMs);
            }
        }

        private JsonNode json(String text) {
            try {
                return JSON.readTree(text);
            } catch (JsonProcessingException e) {
                // The answer to a throttled or malformed query has a body of plain text.
                return JSON.createObjectNode();
            }
        }

        @Override
        public void closed(boolean byPeer) {
            closed = true;
            links.remove(this);
            idle.getOrDefault(site + " " + gatherer, new ArrayDeque<>()).remove(this);
            if (pending != null) {
                ClientQuery clientQuery = pending;
                pending = null;
                clientQuery.closed(byPeer, sent > 1 && read.length() == 0, gatherer);
            }
        }
    }
}
