package sprucehold.rig;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.DataInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A minimal gatherer that breaks one rule on purpose, in a process of its own. Its arguments are
 * the behaviour, {@code --config} and the path of the configuration file.
 */
public final class RuleBreakingGatherer {
    private static final ObjectMapper JSON = new ObjectMapper();

    /** What the gatherer does wrong, if anything. */
    enum Behaviour {
        KEEPS_RULES,
        LEAVES_UNANSWERED,
        SENDS_AFTER_ANSWERING,
        RUNS_TWICE,
        IGNORES_DRAINS,
        RETURNS_WRONG_VALUES,
        CLAIMS_FULL_COVERAGE,
        EXCEEDS_RETRY_BUDGET
    }

    private record Server(String name, int cell, String host, int port) {}

    private record Reply(boolean hit, boolean maybeRan, String value) {}

    private final Behaviour behaviour;
    private final JsonNode config;
    private final Map<String, Server> servers = new ConcurrentHashMap<>();
    private final AtomicInteger queries = new AtomicInteger();

    private RuleBreakingGatherer(Behaviour behaviour, JsonNode config) {
        this.behaviour = behaviour;
        this.config = config;
    }

    public static void main(String[] args) throws Exception {
        if (args[0].equals("FAILS_TO_START")) {
            System.err.println("out of luck");
            System.exit(7);
        }
        if (args[0].equals("IGNORES_SIGTERM")) {
            Runtime.getRuntime()
                    .addShutdownHook(
                            new Thread(
                                    () -> {
                                        while (true) {
                                            Thread.onSpinWait();
                                        }
                                    }));
        }
        if (args[0].equals("FLOODS_ITS_LOG")) {
            // Writes the lines before it reports that it is ready. By then the rig has read all
            // lines except those in the pipe's buffer, however slowly it reads.
            var line = "x".repeat(1 << 20);
            for (int i = 0; i < 80; i++) {
                System.out.println(line);
            }
        }
        if (args[0].equals("PANICS")) {
            System.err.println("2026-12-01T10:00:00.000 INFO the level of this line isn't SEVERE");
            System.err.print("2026-12-01T10:00:00.000 SEV");
            System.err.println("ERE panic: out of luck");
        }
        Behaviour behaviour =
                List.of("IGNORES_SIGTERM", "FLOODS_ITS_LOG", "PANICS").contains(args[0])
                        ? Behaviour.KEEPS_RULES
                        : Behaviour.valueOf(args[0]);
        new RuleBreakingGatherer(behaviour, JSON.readTree(Path.of(args[2]).toFile())).serve();
    }

    private void serve() throws IOException {
        applyEndpoints(config.get("known"));
        String[] at = config.get("listen").asText().split(":");
        HttpServer server =
                HttpServer.create(new InetSocketAddress(at[0], Integer.parseInt(at[1])), 100);
        server.setExecutor(Executors.newCachedThreadPool());
        server.createContext("/", this::answer);
        server.start();
        var discoveryThread = new Thread(this::pollDiscovery);
        discoveryThread.setDaemon(true);
        discoveryThread.start();
    }

    private void applyEndpoints(JsonNode update) {
        if (update.path("snapshot").booleanValue()) {
            servers.clear();
        }
        for (JsonNode entry : update.path("endpoints")) {
            String[] at = entry.get("address").asText().split(":");
            String name = entry.get("name").asText();
            if (entry.get("status").asText().equals("active")) {
                servers.put(
                        name,
                        new Server(
                                name,
                                entry.get("group").intValue(),
                                at[0],
                                Integer.parseInt(at[1])));
            } else if (behaviour != Behaviour.IGNORES_DRAINS) {
                servers.remove(name);
            }
        }
    }

    private void pollDiscovery() {
        HttpClient client = HttpClient.newHttpClient();
        long index = config.get("known").get("index").longValue();
        while (true) {
            try {
                var call =
                        HttpRequest.newBuilder(
                                        URI.create(
                                                "http://"
                                                        + config.get("discovery").asText()
                                                        + "/discovery/hosts?wait_ms=10000&after="
                                                        + index))
                                .build();
                JsonNode update =
                        JSON.readTree(
                                client.send(call, HttpResponse.BodyHandlers.ofString()).body());
                applyEndpoints(update);
                index = update.get("index").longValue();
            } catch (IOException | InterruptedException e) {
                return;
            }
        }
    }

    private void answer(HttpExchange exchange) throws IOException {
        if (exchange.getRequestURI().getPath().equals("/up")) {
            respond(exchange, 200, "up");
            return;
        }
        int number = queries.incrementAndGet();
        String id = exchange.getRequestHeaders().getFirst("X-Request-Id");
        String type = exchange.getRequestHeaders().getFirst("X-Class");
        JsonNode body = JSON.readTree(exchange.getRequestBody());
        if (behaviour == Behaviour.LEAVES_UNANSWERED && number % 5 == 0) {
            exchange.close();
            return;
        }
        var results = new ArrayList<Map<String, Object>>();
        boolean ran = false;
        for (JsonNode bucket : body.get("buckets")) {
            int segment = bucket.get("bucket").intValue();
            List<Server> replicas =
                    servers.values().stream()
                            .filter(
                                    server ->
                                            server.cell()
                                                    == segment
                                                            % config.at("/settings/familyInfo/sets")
                                                                    .intValue())
                            .sorted((one, other) -> one.name().compareTo(other.name()))
                            .toList();
            if (replicas.isEmpty()) {
                continue;
            }
            Server first = replicas.get(number % replicas.size());
            Reply reply = call(first, id, segment, body.get("body").asText());
            ran |= reply.maybeRan();
            boolean repeats =
                    behaviour == Behaviour.RUNS_TWICE && type.equals("stamps")
                            || behaviour == Behaviour.EXCEEDS_RETRY_BUDGET && type.equals("offers");
            if (repeats && replicas.size() > 1) {
                call(
                        replicas.get((number + 1) % replicas.size()),
                        id,
                        segment,
                        body.get("body").asText());
            }
            if (reply.hit()
                    && !(behaviour == Behaviour.CLAIMS_FULL_COVERAGE && results.size() == 3)) {
                results.add(
                        Map.of(
                                "bucket",
                                segment,
                                "item",
                                behaviour == Behaviour.RETURNS_WRONG_VALUES
                                        ? "made up"
                                        : reply.value()));
            }
        }
        int parts = body.get("buckets").size();
        boolean complete =
                results.size() == parts
                        || behaviour == Behaviour.CLAIMS_FULL_COVERAGE && !results.isEmpty();
        if (complete) {
            respond(
                    exchange,
                    200,
                    JSON.writeValueAsString(Map.of("finished", true, "found", results)));
        } else {
            respond(exchange, ran && type.equals("stamps") ? 502 : 503, "no");
        }
        if (behaviour == Behaviour.SENDS_AFTER_ANSWERING
                && complete
                && type.equals("offers")
                && !servers.isEmpty()) {
            pause();
            int segment = body.get("buckets").get(0).get("bucket").intValue();
            call(servers.values().iterator().next(), id, segment, body.get("body").asText());
        }
    }

    /** Waits longer than a message that was written before an answer takes to arrive. */
    private static void pause() {
        try {
            Thread.sleep(400);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static void respond(HttpExchange exchange, int status, String text) throws IOException {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        exchange.sendResponseHeaders(status, bytes.length);
        try (OutputStream out = exchange.getResponseBody()) {
            out.write(bytes);
        }
    }

    private static Reply call(Server server, String id, int segment, String text) {
        boolean written = false;
        try (var socket = new Socket(server.host(), server.port())) {
            socket.setSoTimeout(1000);
            byte[] frame =
                    ("A"
                                    + id
                                    + "."
                                    + segment
                                    + " "
                                    + segment
                                    + " d=1000 "
                                    + text.length()
                                    + "\n"
                                    + text)
                            .getBytes(StandardCharsets.UTF_8);
            var out = new byte[4 + frame.length];
            for (int i = 0; i < 4; i++) {
                out[i] = (byte) (frame.length >> 8 * i);
            }
            System.arraycopy(frame, 0, out, 4, frame.length);
            socket.getOutputStream().write(out);
            written = true;
            var in = new DataInputStream(socket.getInputStream());
            var answer = new byte[Integer.reverseBytes(in.readInt())];
            in.readFully(answer);
            String line = new String(answer, StandardCharsets.UTF_8);
            String[] head = line.substring(0, line.indexOf('\n')).split(" ");
            return new Reply(
                    head[1].equals("hit"),
                    !head[1].equals("overload"),
                    line.substring(line.indexOf('\n') + 1));
        } catch (IOException e) {
            return new Reply(false, written, "");
        }
    }
}
