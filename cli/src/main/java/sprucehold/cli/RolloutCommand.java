package sprucehold.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.UUID;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import sprucehold.change.document.ConfigurationDocument;
import sprucehold.change.document.DocumentReader;
import sprucehold.change.rollout.Rollout;
import sprucehold.change.rollout.RolloutAction;
import sprucehold.change.rollout.RolloutState;
import sprucehold.change.rollout.RolloutState.GathererState;

/** The command {@code change rollout}: proposes a document to many gatherers, in waves. */
@Command(
        name = "rollout",
        description =
                "Brings a document to many gatherers in waves; halted and taken back where one "
                        + "turns it down or undoes it. Started again with the same --state it goes on where it was; exit 1 where it "
                        + "was halted.",
        mixinStandardHelpOptions = true)
final class RolloutCommand implements Callable<Integer> {
    private static final ObjectMapper MAPPER = JsonMapper.builder().build();

    @Parameters(
            index = "0",
            paramLabel = "FILE",
            description = "the whole document that is to hold")
    private Path file;

    @Parameters(
            index = "1..*",
            arity = "1..*",
            paramLabel = "HOST:PORT",
            description = "the gatherers' doors, in the " + "order of their turn")
    private List<String> addresses;

    @Option(
            names = "--token-file",
            paramLabel = "FILE",
            required = true,
            description = "holds the doors' token")
    private Path tokenFile;

    @Option(
            names = "--state",
            paramLabel = "FILE",
            required = true,
            description = "keeps how far it has come")
    private Path stateFile;

    @Option(
            names = "--by",
            paramLabel = "NAME",
            defaultValue = "${sys:user.name}",
            description = "who asks")
    private String by;

    @Option(names = "--json", description = "the end as one JSON object")
    private boolean json;

    /** Version number of this rollout's proposal, by address of the admin server. */
    private final Map<String, Long> versions = new HashMap<>();

    /**
     * Document of each gatherer before the rollout, by address of its admin server. Stored in a
     * file next to the state file.
     */
    private ObjectNode previousDocuments = MAPPER.createObjectNode();

    private ConfigurationDocument document;

    @Override
    public Integer call() throws IOException {
        DocumentReader.ReadResult read = DocumentReader.read(Files.readAllBytes(file));
        if (read instanceof DocumentReader.ReadResult.Invalid invalid) {
            invalid.errors()
                    .forEach(error -> System.err.println("sprucehold: " + file + ": " + error));
            return 1;
        }
        document = ((DocumentReader.ReadResult.Valid) read).document();
        RolloutState state =
                Files.exists(stateFile)
                        ? MAPPER.readValue(Files.readAllBytes(stateFile), RolloutState.class)
                        : RolloutState.of(
                                UUID.randomUUID().toString(), RolloutState.waves(addresses));
        if (Files.exists(previousDocumentsFile())) {
            previousDocuments =
                    (ObjectNode) MAPPER.readTree(Files.readAllBytes(previousDocumentsFile()));
        }
        var rollout = new Rollout(state);
        while (!rollout.finished()) {
            Queue<RolloutAction> pending = new ArrayDeque<>(rollout.tick(System.nanoTime() / 1e6));
            while (!pending.isEmpty()) {
                pending.addAll(carryOut(rollout, pending.poll()));
            }
            waitForNextTick();
        }
        state = rollout.state();
        if (json) {
            Console.json(state);
        } else {
            state.gathererStates()
                    .forEach(
                            (address, gathererState) ->
                                    System.out.println(
                                            address + "  " + gathererState.storedName()));
        }
        return state.phase() == RolloutState.Phase.DONE ? 0 : 1;
    }

    private static void waitForNextTick() throws IOException {
        try {
            Thread.sleep(200);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted; the same command resumes the rollout", e);
        }
    }

    /**
     * Executes an action and passes the response of the admin server to the rollout. If an admin
     * server does not respond, the rollout receives nothing from it.
     */
    private List<RolloutAction> carryOut(Rollout rollout, RolloutAction action) throws IOException {
        if (action instanceof RolloutAction.SaveState saveState) {
            writeAtomically(stateFile, saveState.state());
        } else if (action instanceof RolloutAction.Report report) {
            System.err.println(report.message());
        } else if (action instanceof RolloutAction.Propose propose) {
            return propose(rollout, propose.gatherer(), propose.id());
        } else if (action instanceof RolloutAction.QueryStatus queryStatus) {
            return queryStatus(rollout, queryStatus.gatherer(), queryStatus.id());
        } else if (action instanceof RolloutAction.Revert revert) {
            return revertChange(rollout, revert.gatherer(), revert.id());
        }
        return List.of();
    }

    private Path previousDocumentsFile() {
        return stateFile.resolveSibling(stateFile.getFileName() + ".before");
    }

    /**
     * Replaces a file atomically: writes a new file next to it, forces that to the disk and renames
     * it.
     */
    private static void writeAtomically(Path file, Object content) throws IOException {
        Path temporary = file.resolveSibling(file.getFileName() + ".new");
        Files.write(temporary, MAPPER.writeValueAsBytes(content));
        try (FileChannel written = FileChannel.open(temporary, StandardOpenOption.WRITE)) {
            written.force(true);
        }
        Files.move(temporary, file, StandardCopyOption.ATOMIC_MOVE);
    }

    private AdminCall adminServer(String address) throws IOException {
        return new AdminCall(address, tokenFile);
    }

    private List<RolloutAction> propose(Rollout rollout, String gatherer, String id) {
        try {
            JsonNode status = adminServer(gatherer).call("GET", "/change/status", null);
            if (!previousDocuments.has(gatherer)) {
                previousDocuments.set(
                        gatherer, adminServer(gatherer).call("GET", "/change/document", null));
                writeAtomically(previousDocumentsFile(), previousDocuments);
            }
            ObjectNode body =
                    MAPPER.createObjectNode()
                            .put("id", id)
                            .put("by", by)
                            .put("madeFrom", status.path("live").longValue());
            body.set("document", MAPPER.readTree(DocumentReader.write(document)));
            JsonNode answer = adminServer(gatherer).call("POST", "/change/propose", body);
            versions.put(gatherer, answer.path("version").longValue());
            return rollout.handleAnswer(gatherer, GathererState.WATCHED, "");
        } catch (AdminCall.RequestRejectedException e) {
            return rollout.handleAnswer(gatherer, GathererState.REJECTED, e.getMessage());
        } catch (IOException e) {
            return List.of();
        }
    }

    /**
     * Returns the version number that the gatherer gave to this rollout's proposal, or -1 if the
     * gatherer never received the proposal.
     */
    private long version(String gatherer, String id) throws IOException {
        if (!versions.containsKey(gatherer)) {
            try {
                versions.put(
                        gatherer,
                        adminServer(gatherer)
                                .call("GET", "/change/proposal/" + id, null)
                                .path("version")
                                .longValue());
            } catch (AdminCall.RequestRejectedException e) {
                return -1;
            }
        }
        return versions.get(gatherer);
    }

    private List<RolloutAction> queryStatus(Rollout rollout, String gatherer, String id) {
        try {
            long version = version(gatherer, id);
            for (JsonNode entry : adminServer(gatherer).call("GET", "/change/history", null)) {
                if (entry.path("version").longValue() == version) {
                    return switch (entry.path("state").asText()) {
                        case "confirmed", "replaced" ->
                                rollout.handleAnswer(gatherer, GathererState.CONFIRMED, "");
                        case "undone", "set_aside" ->
                                rollout.handleAnswer(
                                        gatherer,
                                        GathererState.ROLLED_BACK,
                                        entry.path("why").asText());
                        default -> rollout.handleAnswer(gatherer, GathererState.WATCHED, "");
                    };
                }
            }
        } catch (IOException e) {
            // No response: the rollout queries the status again later.
        }
        return List.of();
    }

    /** Returns the version number of the proposal that reverts the rollout, or -1 if none. */
    private long revertingVersion(String gatherer, String id) throws IOException {
        try {
            return adminServer(gatherer)
                    .call("GET", "/change/proposal/" + id + "-back", null)
                    .path("version")
                    .longValue();
        } catch (AdminCall.RequestRejectedException e) {
            return -1;
        }
    }

    private List<RolloutAction> revertChange(Rollout rollout, String gatherer, String id) {
        try {
            JsonNode status = adminServer(gatherer).call("GET", "/change/status", null);
            long version = version(gatherer, id);
            long live = status.path("live").longValue();
            if (version > 0 && live == version && status.path("watched").booleanValue()) {
                adminServer(gatherer)
                        .call(
                                "POST",
                                "/change/undo",
                                MAPPER.createObjectNode().put("version", version).put("by", by));
            } else if (version > 0 && live == version && previousDocuments.has(gatherer)) {
                ObjectNode body =
                        MAPPER.createObjectNode()
                                .put("id", id + "-back")
                                .put("by", by)
                                .put("madeFrom", live);
                body.set("document", previousDocuments.get(gatherer));
                adminServer(gatherer).call("POST", "/change/propose", body);
                return List.of();
            } else if (status.path("watched").booleanValue()
                    && live == revertingVersion(gatherer, id)) {
                // While the reverting version is watched, it could be rolled back, which would
                // bring back the change that is being reverted.
                adminServer(gatherer)
                        .call(
                                "POST",
                                "/change/confirm",
                                MAPPER.createObjectNode().put("version", live).put("by", by));
            }
            // Nothing is left to revert if the change was rolled back or its reverting version was
            // confirmed just now. If the proposal is not live or never reached the gatherer, the
            // live version is not part of this rollout, so it is left as it is.
            return rollout.handleAnswer(gatherer, GathererState.REVERTED, "");
        } catch (IOException e) {
            return List.of();
        }
    }
}
