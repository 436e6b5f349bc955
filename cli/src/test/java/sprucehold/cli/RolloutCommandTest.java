package sprucehold.cli;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import sprucehold.change.document.ConfigurationDocument;
import sprucehold.change.document.DocumentReader;
import sprucehold.change.document.RunningState;
import sprucehold.change.version.VersionCommand;
import sprucehold.change.version.VersionEvent;
import sprucehold.change.version.VersionHistory;

/** Runs the command against scripted admin servers that use the real version history. */
public class RolloutCommandTest {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final String DOCUMENT =
            """
            {"tableTypes":[{"name":"offers","repeat":"replayable","targetMs":800,"queryTimeoutMs":2000}],
             "limits":{"dispatchesPerPart":2,"maxOpen":%d},
             "coldRule":{"startShare":1,"warmAfterMs":0,"multiple":1,"windowMs":0}}""";
    private Path folder;
    private final List<ScriptedAdminServer> adminServers = new ArrayList<>();

    private static ConfigurationDocument document(int maxOpen) {
        return ((DocumentReader.ReadResult.Valid)
                        DocumentReader.read(DOCUMENT.formatted(maxOpen).getBytes()))
                .document();
    }

    /**
     * A scripted admin server. It decides about a watched version at the second request for the
     * history.
     */
    private static final class ScriptedAdminServer {
        final HttpServer server;
        final VersionHistory history = new VersionHistory(document(100));
        final boolean harmed;
        int historyRequests;
        boolean unresponsive;

        ScriptedAdminServer(boolean harmed) throws IOException {
            this.harmed = harmed;
            server =
                    HttpServer.create(
                            new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
            server.createContext("/", this::handle);
            server.start();
        }

        String address() {
            return "127.0.0.1:" + server.getAddress().getPort();
        }

        private synchronized void handle(HttpExchange exchange) throws IOException {
            byte[] body = exchange.getRequestBody().readAllBytes();
            if (unresponsive) {
                exchange.close();
                return;
            }
            String path = exchange.getRequestURI().getPath();
            ObjectNode node = MAPPER.createObjectNode();
            JsonNode answer = node;
            int status = 200;
            if (path.equals("/change/document")) {
                answer = MAPPER.readTree(DocumentReader.write(history.live().document()));
            } else if (path.equals("/change/history")) {
                if (history.watched() && ++historyRequests >= 2) {
                    history.handle(
                            new VersionEvent.WatchDecided(
                                    history.live().number(), harmed, "so it was"));
                }
                ArrayNode all = MAPPER.createArrayNode();
                history.statuses()
                        .forEach(
                                entry ->
                                        all.addObject()
                                                .put("version", entry.version().number())
                                                .put("state", entry.state().storedName())
                                                .put("why", entry.reason()));
                answer = all;
            } else if (path.startsWith("/change/proposal/")) {
                Long version =
                        history.versionOfProposal(path.substring("/change/proposal/".length()));
                status = version == null ? 404 : 200;
                node.put(
                        version == null ? "error" : "version",
                        version == null ? "none" : version.toString());
                if (version != null) {
                    node.put("version", version);
                }
            } else if (path.equals("/change/propose")) {
                JsonNode proposal = MAPPER.readTree(body);
                ConfigurationDocument proposedDocument =
                        ((DocumentReader.ReadResult.Valid)
                                        DocumentReader.read(
                                                MAPPER.writeValueAsBytes(proposal.get("document"))))
                                .document();
                for (VersionCommand action :
                        history.handle(
                                new VersionEvent.Proposed(
                                        proposal.get("id").asText(),
                                        "o",
                                        proposal.get("madeFrom").asLong(),
                                        proposedDocument,
                                        RunningState.IDLE))) {
                    if (action instanceof VersionCommand.Accepted accepted) {
                        node.put("version", accepted.version().number());
                    } else if (action instanceof VersionCommand.AlreadyKnown known) {
                        node.put("version", known.number());
                    } else if (action instanceof VersionCommand.Rejected) {
                        status = 409;
                        node.put("error", "turned down");
                    }
                }
                history.handle(new VersionEvent.BetweenDecisions());
            } else if (path.equals("/change/confirm")) {
                history.handle(
                        new VersionEvent.ConfirmRequested(
                                MAPPER.readTree(body).get("version").asLong(), "o"));
            } else if (path.equals("/change/undo")) {
                history.handle(
                        new VersionEvent.RollbackRequested(
                                MAPPER.readTree(body).get("version").asLong(), "o"));
            } else {
                node.put("live", history.live().number()).put("watched", history.watched());
            }
            byte[] bytes = MAPPER.writeValueAsBytes(answer);
            exchange.sendResponseHeaders(status, bytes.length);
            exchange.getResponseBody().write(bytes);
            exchange.close();
        }
    }

    @BeforeMethod
    public void prepare() throws IOException {
        folder = Files.createTempDirectory("rollout");
        Files.writeString(folder.resolve("next.json"), DOCUMENT.formatted(90));
        Files.writeString(folder.resolve("token"), "a token of some letters");
    }

    @AfterMethod
    public void close() {
        adminServers.forEach(adminServer -> adminServer.server.stop(0));
        adminServers.clear();
    }

    private int runRollout() {
        var arguments =
                new ArrayList<>(
                        List.of("change", "rollout", folder.resolve("next.json").toString()));
        adminServers.forEach(adminServer -> arguments.add(adminServer.address()));
        arguments.addAll(
                List.of(
                        "--token-file",
                        folder.resolve("token").toString(),
                        "--state",
                        folder.resolve("state").toString(),
                        "--by",
                        "o"));
        return Sprucehold.commandLine().execute(arguments.toArray(new String[0]));
    }

    private void startAdminServers(boolean... harmed) throws IOException {
        for (boolean rollsBackChange : harmed) {
            adminServers.add(new ScriptedAdminServer(rollsBackChange));
        }
    }

    private List<Integer> liveQueryLimits() {
        return adminServers.stream()
                .map(adminServer -> adminServer.history.live().document().limits().maxOpen())
                .toList();
    }

    @Test
    public void healthyChangeIsLiveOnEveryGatherer() throws IOException {
        startAdminServers(false, false, false);
        assertEquals(runRollout(), 0);
        assertEquals(liveQueryLimits(), List.of(90, 90, 90));
    }

    @Test
    public void changeRolledBackInSecondWaveIsRevertedInFirstWave() throws IOException {
        startAdminServers(false, true, false, false);
        assertEquals(runRollout(), 1);
        // The first gatherer confirmed the change and then received its previous document as a new
        // proposal. The last gatherer never received a proposal.
        assertEquals(liveQueryLimits(), List.of(100, 100, 100, 100));
        assertEquals(adminServers.get(3).history.live().number(), 1);
        assertFalse(
                adminServers.get(0).history.watched(),
                "a rollback would bring the harmful change back");
    }

    @Test
    public void killedRolloutResumesFromItsStateFile() throws IOException {
        startAdminServers(false, false);
        // The command was killed after it sent the proposal to the first gatherer. The state file
        // records that, and the command has no other information.
        adminServers
                .get(0)
                .history
                .handle(new VersionEvent.Proposed("r-7", "o", 1, document(90), RunningState.IDLE));
        adminServers.get(0).history.handle(new VersionEvent.BetweenDecisions());
        Files.writeString(
                folder.resolve("state"),
                "{\"id\":\"r-7\",\"waves\":[[\""
                        + adminServers.get(0).address()
                        + "\"],[\""
                        + adminServers.get(1).address()
                        + "\"]],\"wave\":0,\"standing\":{\""
                        + adminServers.get(0).address()
                        + "\":\"ASKED\",\""
                        + adminServers.get(1).address()
                        + "\":\"UNTOUCHED\"},\"phase\":\"ROLLING\",\"why\":\"\"}");
        assertEquals(runRollout(), 0);
        assertEquals(liveQueryLimits(), List.of(90, 90));
        assertEquals(
                adminServers.get(0).history.live().number(), 2, "the change was proposed once");
        assertTrue(Files.readString(folder.resolve("state")).contains("\"DONE\""));
    }
}
