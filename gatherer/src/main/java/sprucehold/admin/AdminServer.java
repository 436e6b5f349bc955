package sprucehold.admin;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;
import java.util.logging.Logger;
import sprucehold.change.document.ConfigurationDocument;
import sprucehold.change.document.DocumentDifference;
import sprucehold.change.document.DocumentReader;
import sprucehold.change.document.SemanticValidator;
import sprucehold.change.document.ValidationError;
import sprucehold.change.version.Version;
import sprucehold.change.version.VersionCommand;
import sprucehold.change.version.VersionHistory;
import sprucehold.change.version.VersionStatus;

/** The HTTP server for operators ({@code --door}): one JSON object in, one out. */
public final class AdminServer {
    private static final Logger LOG = Logger.getLogger(AdminServer.class.getName());

    /**
     * Operators are few; a door that is flooded must not take the descriptors that clients need.
     */
    private static final int MOST_CONNECTIONS = 16;

    /** A proposal's document and what stands round it. */
    private static final int MOST_BYTES = DocumentReader.MAX_BYTES + 4096;

    /** Who sends nothing, or reads nothing, for so long is closed. */
    private static final int IDLE_S = 10;

    private static final String STATUS = "/status/";
    private static final String PROPOSAL = "/change/proposal/";
    private static final ObjectMapper MAPPER = JsonMapper.builder().build();

    private final Vertx vertx;
    private final ConfigurationHandler desk;
    private final Map<String, Supplier<JsonNode>> views;
    private final byte[] tokenDigest;
    private final Set<HttpConnection> connections = new HashSet<>();
    private HttpServer server;

    /**
     * @param views what may be seen of what stands beside the node, at {@code /status/} and the
     *     name of each
     */
    public AdminServer(
            Vertx vertx,
            String token,
            Map<String, Supplier<JsonNode>> views,
            ConfigurationHandler desk) {
        this.vertx = vertx;
        this.views = views;
        this.desk = desk;
        this.tokenDigest = digest(token);
    }

    private static byte[] digest(String token) {
        try {
            return MessageDigest.getInstance("SHA-256")
                    .digest(token.getBytes(StandardCharsets.UTF_8));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every JDK has SHA-256", e);
        }
    }

    /** Returns the port on which it listens. */
    public Future<Integer> listen(String host, int port) {
        server =
                vertx.createHttpServer(
                        new HttpServerOptions()
                                .setHttp2ClearTextEnabled(false)
                                .setIdleTimeout(IDLE_S)
                                .setMaxHeaderSize(8192));
        server.connectionHandler(
                connection -> {
                    if (connections.size() >= MOST_CONNECTIONS) {
                        connection.close();
                        return;
                    }
                    connections.add(connection);
                    connection.closeHandler(none -> connections.remove(connection));
                });
        server.requestHandler(this::request);
        return server.listen(port, host)
                .map(
                        listening -> {
                            LOG.info("the door is open at " + host + ":" + listening.actualPort());
                            return listening.actualPort();
                        });
    }

    public Future<Void> close() {
        return server == null ? Future.succeededFuture() : server.close();
    }

    private void request(HttpServerRequest request) {
        String shown = request.getHeader("Authorization");
        // Digests are of one length, so the time of the comparison tells nothing of the token.
        if (shown == null
                || !shown.startsWith("Bearer ")
                || !MessageDigest.isEqual(tokenDigest, digest(shown.substring(7)))) {
            answerAndClose(request, 401, error("no such token"));
            return;
        }
        if (request.method() == HttpMethod.GET) {
            get(request);
            return;
        }
        Buffer body = Buffer.buffer();
        request.handler(
                bytes -> {
                    if (body.length() + bytes.length() > MOST_BYTES) {
                        request.handler(null);
                        answerAndClose(
                                request, 413, error("at most " + MOST_BYTES + " bytes are read"));
                    } else {
                        body.appendBuffer(bytes);
                    }
                });
        request.endHandler(
                none -> {
                    if (!request.response().ended()) {
                        post(request, body.getBytes());
                    }
                });
    }

    private void get(HttpServerRequest request) {
        Supplier<JsonNode> view =
                request.path().startsWith(STATUS)
                        ? views.get(request.path().substring(STATUS.length()))
                        : null;
        if (view != null) {
            answer(request, 200, bytes(view.get()));
            return;
        }
        switch (request.path()) {
            case "/change/status" -> answer(request, 200, status());
            case "/change/document" ->
                    answer(request, 200, DocumentReader.write(desk.history().live().document()));
            case "/change/history" -> {
                ArrayNode versions = MAPPER.createArrayNode();
                desk.history().statuses().forEach(outcome -> versions.add(outcome(outcome)));
                answer(request, 200, bytes(versions));
            }
            default -> {
                Long version =
                        request.path().startsWith(PROPOSAL)
                                ? desk.history()
                                        .versionOfProposal(
                                                request.path().substring(PROPOSAL.length()))
                                : null;
                answer(
                        request,
                        version == null ? 404 : 200,
                        version == null
                                ? error("no such path")
                                : bytes(MAPPER.createObjectNode().put("version", version)));
            }
        }
    }

    private byte[] status() {
        VersionHistory history = desk.history();
        ObjectNode node = MAPPER.createObjectNode();
        node.put("live", history.live().number())
                .put("watched", history.watched())
                .put("confirmed", history.confirmed().number());
        if (history.staged() != null) {
            node.put("staged", history.staged().number());
        }
        return bytes(node);
    }

    private static ObjectNode outcome(VersionStatus outcome) {
        Version version = outcome.version();
        return MAPPER.createObjectNode()
                .put("version", version.number())
                .put("madeFrom", version.basedOn())
                .put("by", version.author())
                .put("undoes", version.rollsBack())
                .put("state", outcome.state().storedName())
                .put("why", outcome.reason());
    }

    private void post(HttpServerRequest request, byte[] body) {
        JsonNode node;
        try {
            node = MAPPER.readTree(body);
        } catch (IOException | RuntimeException e) {
            answer(request, 400, error("the body is no JSON"));
            return;
        }
        if (node == null || !node.isObject()) {
            answer(request, 400, error("the body is no JSON object"));
            return;
        }
        String by = node.path("by").asText("");
        switch (request.path()) {
            case "/change/check" -> check(request, node.path("document"));
            case "/change/propose" -> propose(request, node, by);
            case "/change/confirm", "/change/undo" -> {
                if (!node.path("version").canConvertToLong() || by.isEmpty()) {
                    answer(request, 400, error("version (a number) and by were expected"));
                    return;
                }
                long version = node.get("version").longValue();
                boolean due =
                        desk.history().watched() && desk.history().live().number() == version
                                || request.path().endsWith("undo")
                                        && desk.history().staged() != null
                                        && desk.history().staged().number() == version;
                if (!due) {
                    answer(
                            request,
                            409,
                            error("version " + version + " is neither watched nor staged"));
                } else if (request.path().endsWith("undo")) {
                    desk.rollBack(version, by);
                    answer(request, 200, status());
                } else {
                    desk.confirm(version, by);
                    answer(request, 200, status());
                }
            }
            default -> answer(request, 404, error("no such path"));
        }
    }

    private void check(HttpServerRequest request, JsonNode document) {
        DocumentReader.ReadResult read = DocumentReader.read(bytes(document));
        if (read instanceof DocumentReader.ReadResult.Invalid bad) {
            answer(request, 422, faults(bad.errors(), null));
            return;
        }
        ConfigurationDocument good = ((DocumentReader.ReadResult.Valid) read).document();
        List<ValidationError> faults = SemanticValidator.validate(good);
        answer(
                request,
                faults.isEmpty() ? 200 : 422,
                faults.isEmpty()
                        ? bytes(
                                difference(
                                        DocumentDifference.between(
                                                desk.history().live().document(), good)))
                        : faults(faults, null));
    }

    private void propose(HttpServerRequest request, JsonNode node, String by) {
        if (!node.path("id").isTextual()
                || by.isEmpty()
                || !node.path("madeFrom").canConvertToLong()) {
            answer(request, 400, error("id, by, madeFrom and document were expected"));
            return;
        }
        DocumentReader.ReadResult read = DocumentReader.read(bytes(node.path("document")));
        if (read instanceof DocumentReader.ReadResult.Invalid bad) {
            answer(request, 422, faults(bad.errors(), null));
            return;
        }
        List<VersionCommand> actions =
                desk.propose(
                        node.get("id").asText(),
                        by,
                        node.get("madeFrom").longValue(),
                        ((DocumentReader.ReadResult.Valid) read).document());
        for (VersionCommand action : actions) {
            if (action instanceof VersionCommand.Accepted accepted) {
                ObjectNode answer = difference(accepted.difference());
                answer.put("version", accepted.version().number());
                answer(request, 202, bytes(answer));
            } else if (action instanceof VersionCommand.AlreadyKnown there) {
                answer(
                        request,
                        200,
                        bytes(
                                MAPPER.createObjectNode()
                                        .put("version", there.number())
                                        .put("already", true)));
            } else if (action instanceof VersionCommand.Rejected down) {
                answer(request, 409, faults(down.errors(), down.changesSince()));
            }
        }
    }

    private static ObjectNode difference(DocumentDifference difference) {
        ObjectNode node = MAPPER.createObjectNode();
        node.put("risk", difference.risk().name().toLowerCase(Locale.ROOT));
        ArrayNode words = node.putArray("changes");
        difference
                .changes()
                .forEach(
                        of ->
                                words.addObject()
                                        .put("path", of.path())
                                        .put("words", of.description())
                                        .put("risk", of.risk().name().toLowerCase(Locale.ROOT)));
        return node;
    }

    private static byte[] faults(List<ValidationError> faults, DocumentDifference meanwhile) {
        ObjectNode node = MAPPER.createObjectNode();
        ArrayNode all = node.putArray("faults");
        faults.forEach(
                fault ->
                        all.addObject()
                                .put("path", fault.path())
                                .put("what", fault.problem())
                                .put("mend", fault.remedy()));
        if (meanwhile != null) {
            node.set("meanwhile", difference(meanwhile));
        }
        return bytes(node);
    }

    private static byte[] error(String what) {
        return bytes(MAPPER.createObjectNode().put("error", what));
    }

    private static byte[] bytes(JsonNode node) {
        try {
            return MAPPER.writeValueAsBytes(node);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("a tree has no JSON form", e);
        }
    }

    /** What is left of the request isn't read. */
    private static void answerAndClose(HttpServerRequest request, int status, byte[] json) {
        request.response()
                .setStatusCode(status)
                .putHeader("Content-Type", "application/json")
                .putHeader("Connection", "close")
                .end(Buffer.buffer(json))
                .onComplete(written -> request.connection().close());
    }

    private static void answer(HttpServerRequest request, int status, byte[] json) {
        if (!request.response().ended()) {
            request.response()
                    .setStatusCode(status)
                    .putHeader("Content-Type", "application/json")
                    .end(Buffer.buffer(json));
        }
    }
}
