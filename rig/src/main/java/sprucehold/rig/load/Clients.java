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
import sprucehold.rig.fault.Treatment;
import sprucehold.rig.link.ShapedConnections;
import sprucehold.rig.link.ShapedSocket;
import sprucehold.rig.plan.Plan;
import sprucehold.rig.script.Fault;
import sprucehold.rig.script.Script;
import sprucehold.standin.ledger.Ledger;
import sprucehold.standin.ledger.Seen;

/**
 * All clients of a run: an open loop, each scan at its planned time on a connection of its own or
 * one that is idle. What they saw goes into the ledger, how it looked to them to a listener.
 */
public final class Clients {
    private static final ObjectMapper JSON = new ObjectMapper();

    /** How a client's scan ended for it. */
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

    /** Hears of the end of each scan that was planned, once, after all its retries. */
    public interface Listener {
        /**
         * @param atMs when the client had it, by the run's clock
         * @param sentLateMs how much later than planned the rig began to send it
         */
        void ended(Plan.PlannedQuery ask, double atMs, End end, double sentLateMs);
    }

    private final Vertx vertx;
    private final ShapedConnections wires;
    private final DoubleSupplier clock;
    private final Ledger ledger;
    private final Script script;
    private final Front front;
    private final Function<String, SocketAddress> address;
    private final Predicate<String> killed;
    private final Listener listener;
    private final NetClient net;
    private final Map<String, Deque<Link>> idle = new HashMap<>();
    private final Set<Link> links = new LinkedHashSet<>();
    private int open;

    /**
     * @param address where a gatherer listens
     * @param killed whether a gatherer was killed and is not back
     */
    public Clients(
            Vertx vertx,
            ShapedConnections wires,
            DoubleSupplier clock,
            Ledger ledger,
            Script script,
            Front front,
            Function<String, SocketAddress> address,
            Predicate<String> killed,
            Listener listener) {
        this.vertx = vertx;
        this.wires = wires;
        this.clock = clock;
        this.ledger = ledger;
        this.script = script;
        this.front = front;
        this.address = address;
        this.killed = killed;
        this.listener = listener;
        // Longer than any client waits: who waits in vain leaves by itself.
        this.net =
                vertx.createNetClient(
                        new NetClientOptions().setTcpNoDelay(true).setConnectTimeout(60_000));
    }

    /** Asks a planned scan now. */
    public void ask(Plan.PlannedQuery ask, double plannedMs) {
        open++;
        new Asking(ask, clock.getAsDouble() - plannedMs).go(ask.id());
    }

    /** Scans that have not ended for their clients. */
    public int open() {
        return open;
    }

    /** Gives up connections to a gatherer that nobody uses now. */
    public void forget(String gatherer) {
        links.stream()
                .filter(link -> link.gatherer.equals(gatherer) && link.asking == null)
                .toList()
                .forEach(link -> link.socket.close());
    }

    public void close() {
        Set.copyOf(links).forEach(link -> link.socket.reset());
        net.close();
    }

    /** One client's wish, through all its retries. */
    private final class Asking {
        final Plan.PlannedQuery ask;
        final Script.Load load;
        final Script.Kind kind;
        final Persistence persistence;
        final double sentLateMs;
        String id;
        Link link;
        boolean asked;
        boolean sentAgain;
        long patience = -1;

        /** When its query timeout is over, from when it first looked for a gatherer. */
        double timeOverAt;

        Asking(Plan.PlannedQuery ask, double sentLateMs) {
            this.ask = ask;
            this.load = script.load().get(ask.load());
            this.kind =
                    script.tableTypes().stream()
                            .filter(k -> k.type().name().equals(load.tableType()))
                            .findFirst()
                            .orElseThrow();
            this.persistence = new Persistence(load, ask.id().hashCode());
            this.sentLateMs = sentLateMs;
        }

        void go(String withId) {
            id = withId;
            asked = false;
            sentAgain = false;
            link = null;
            double waits = Math.min(load.leavesMs(), kind.timeoutMs() + GIVES_UP_MS);
            timeOverAt = clock.getAsDouble() + kind.timeoutMs();
            patience = vertx.setTimer(Math.max(1, (long) waits), over -> gaveUp());
            connect();
        }

        private void connect() {
            if (timeLeftMs() < 1) {
                // Nobody was found in time, and nobody is told of a scan that has no time left.
                end(End.NOBODY);
                return;
            }
            String site = "clients@" + load.site();
            String gatherer = front.next(clock.getAsDouble(), load.site());
            if (gatherer == null) {
                end(End.NOBODY);
                return;
            }
            Deque<Link> kept =
                    idle.computeIfAbsent(site + " " + gatherer, key -> new ArrayDeque<>());
            Link reused = kept.pollLast();
            if (reused != null) {
                reused.send(this);
                return;
            }
            Treatment there = wires.board().of(site, gatherer);
            if (there.cut() == Fault.Mode.SILENT || there.halfOpen()) {
                // Never comes up; the client waits.
                return;
            }
            String with = id;
            if (there.cut() != null) {
                failed();
                return;
            }
            net.connect(address.apply(gatherer))
                    .onComplete(
                            socket -> {
                                var opened = new Link(site, gatherer);
                                opened.socket = wires.shape(socket, gatherer, site, opened);
                                links.add(opened);
                                if (id != null
                                        && id.equals(with)
                                        && link == null
                                        && timeLeftMs() >= 1) {
                                    opened.send(this);
                                } else {
                                    opened.keep();
                                }
                            },
                            refused -> {
                                if (id != null && id.equals(with)) {
                                    failed();
                                }
                            });
        }

        /**
         * What a gatherer is told: where the way to it took long, the client won't wait the whole
         * time any more.
         */
        long timeLeftMs() {
            return (long) (timeOverAt - clock.getAsDouble());
        }

        /**
         * No connection came up, so nothing was asked: tries the next gatherer after a short wait,
         * as a front does.
         */
        void failed() {
            String with = id;
            vertx.setTimer(
                    CONNECT_AGAIN_MS,
                    waited -> {
                        if (id != null && id.equals(with) && link == null) {
                            connect();
                        }
                    });
        }

        private void gaveUp() {
            patience = -1;
            boolean left = load.leavesMs() < kind.timeoutMs() + GIVES_UP_MS;
            Link on = link;
            if (on != null) {
                link = null;
                on.asking = null;
                if (asked && left) {
                    ledger.add(new Seen.Left(clock.getAsDouble(), id));
                }
                on.socket.close();
            }
            end(left ? End.LEFT : End.NO_ANSWER);
        }

        void answered(int status, double comeBackMs, JsonNode body, double readMs) {
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
            double wait = how == Seen.Answer.THROTTLED ? persistence.throttled(comeBackMs) : -1;
            if (wait >= 0) {
                vertx.cancelTimer(patience);
                id = null;
                vertx.setTimer(Math.max(1, (long) wait), again -> go(persistence.id(ask.id())));
            } else {
                end(
                        how == Seen.Answer.COMPLETED
                                ? whole ? End.WHOLE : End.PART
                                : how == Seen.Answer.THROTTLED ? End.THROTTLED : End.ABANDONED);
            }
        }

        /**
         * The connection ended with no answer. A kept one that its gatherer closed unread is no
         * loss, and is asked once more; where the gatherer was killed nobody knows what ran, and
         * where a fault broke the link it takes the client to have left.
         */
        void closed(boolean byPeer, boolean reused, String gatherer) {
            link = null;
            if (asked && !byPeer) {
                ledger.add(new Seen.Left(clock.getAsDouble(), id));
                end(End.LEFT);
            } else if (!asked || reused && !sentAgain && !killed.test(gatherer)) {
                sentAgain |= asked;
                failed();
            } else {
                ledger.add(
                        new Seen.Answered(
                                clock.getAsDouble(), id, Seen.Answer.CLOSED, false, Map.of()));
                end(End.CLOSED);
            }
        }

        private void end(End how) {
            vertx.cancelTimer(patience);
            id = null;
            open--;
            listener.ended(ask, clock.getAsDouble(), how, sentLateMs);
        }
    }

    /**
     * How long after its time a client still reads an answer: what comes then is late, and what
     * never comes is lost.
     */
    private static final double GIVES_UP_MS = 500;

    private static final long CONNECT_AGAIN_MS = 20;

    /** One connection of clients of a site to a gatherer. */
    private final class Link implements ShapedSocket.Owner {
        final String site;
        final String gatherer;
        ShapedSocket socket;
        Asking asking;
        Buffer read = Buffer.buffer();
        int sent;
        boolean over;

        Link(String site, String gatherer) {
            this.site = site;
            this.gatherer = gatherer;
        }

        void send(Asking by) {
            asking = by;
            by.link = this;
            sent++;
            String type = by.load.tableType();
            var parts = new StringBuilder();
            by.ask
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
                    "{\"buckets\":[" + parts + "],\"body\":\"" + type + "." + by.ask.id() + "\"}";
            long timeout = by.timeLeftMs();
            String head =
                    "POST /"
                            + type
                            + " HTTP/1.1\r\nHost: rig\r\nX-Request-Id: "
                            + by.id
                            + "\r\nX-Class: "
                            + type
                            + "\r\nX-Tenant: "
                            + by.load.customer()
                            + "\r\nX-Deadline-Ms: "
                            + timeout
                            + "\r\nContent-Length: "
                            + body.length()
                            + "\r\n\r\n";
            String id = by.id;
            socket.write(
                    Buffer.buffer(head + body),
                    () -> {
                        by.asked = true;
                        ledger.add(
                                new Seen.Asked(
                                        clock.getAsDouble(),
                                        gatherer,
                                        id,
                                        type,
                                        timeout,
                                        by.ask.weights()));
                    });
        }

        void keep() {
            if (!over && !front.knowsGone(gatherer)) {
                idle.computeIfAbsent(site + " " + gatherer, key -> new ArrayDeque<>())
                        .addLast(this);
            } else if (!over) {
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
            Asking by = asking;
            asking = null;
            if ("close".equalsIgnoreCase(head.get("Connection"))) {
                socket.close();
            } else {
                keep();
            }
            if (by != null) {
                by.answered(
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
                // Words of a throttled or malformed scan.
                return JSON.createObjectNode();
            }
        }

        @Override
        public void closed(boolean byPeer) {
            over = true;
            links.remove(this);
            idle.getOrDefault(site + " " + gatherer, new ArrayDeque<>()).remove(this);
            if (asking != null) {
                Asking by = asking;
                asking = null;
                by.closed(byPeer, sent > 1 && read.length() == 0, gatherer);
            }
        }
    }
}
