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

/** Brings a change to many gatherers, in waves. */
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
    private List<String> doors;

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

    /**
     * What is asked of the doors; each answer is handed on, and a door that doesn't answer says
     * nothing.
     */
    private final Map<String, Long> versions = new HashMap<>();

    /** What each gatherer served before, kept beside the state. */
    private ObjectNode before = MAPPER.createObjectNode();

    private ConfigurationDocument document;

    @Override
    public Integer call() throws IOException {
        DocumentReader.ReadResult read = DocumentReader.read(Files.readAllBytes(file));
        if (read instanceof DocumentReader.ReadResult.Invalid bad) {
            bad.errors().forEach(fault -> System.err.println("sprucehold: " + file + ": " + fault));
            return 1;
        }
        document = ((DocumentReader.ReadResult.Valid) read).document();
        RolloutState state =
                Files.exists(stateFile)
                        ? MAPPER.readValue(Files.readAllBytes(stateFile), RolloutState.class)
                        : RolloutState.of(UUID.randomUUID().toString(), RolloutState.waves(doors));
        if (Files.exists(beforeFile())) {
            before = (ObjectNode) MAPPER.readTree(Files.readAllBytes(beforeFile()));
        }
        var rollout = new Rollout(state);
        while (!rollout.finished()) {
            Queue<RolloutAction> todo = new ArrayDeque<>(rollout.tick(System.nanoTime() / 1e6));
            while (!todo.isEmpty()) {
                todo.addAll(carryOut(rollout, todo.poll()));
            }
            pause();
        }
        state = rollout.state();
        if (json) {
            Printed.json(state);
        } else {
            state.gathererStates()
                    .forEach(
                            (door, standing) ->
                                    System.out.println(door + "  " + standing.storedName()));
        }
        return state.phase() == RolloutState.Phase.DONE ? 0 : 1;
    }

    private static void pause() throws IOException {
        try {
            Thread.sleep(200);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted; the same call goes on where it was", e);
        }
    }

    private List<RolloutAction> carryOut(Rollout rollout, RolloutAction action) throws IOException {
        if (action instanceof RolloutAction.SaveState keep) {
            keep(stateFile, keep.state());
        } else if (action instanceof RolloutAction.Report tell) {
            System.err.println(tell.message());
        } else if (action instanceof RolloutAction.Propose propose) {
            return propose(rollout, propose.gatherer(), propose.id());
        } else if (action instanceof RolloutAction.QueryStatus ask) {
            return ask(rollout, ask.gatherer(), ask.id());
        } else if (action instanceof RolloutAction.Revert back) {
            return takeBack(rollout, back.gatherer(), back.id());
        }
        return List.of();
    }

    private Path beforeFile() {
        return stateFile.resolveSibling(stateFile.getFileName() + ".before");
    }

    /** Whole or not at all: written beside, synced, and put in place at once. */
    private static void keep(Path file, Object what) throws IOException {
        Path beside = file.resolveSibling(file.getFileName() + ".new");
        Files.write(beside, MAPPER.writeValueAsBytes(what));
        try (FileChannel written = FileChannel.open(beside, StandardOpenOption.WRITE)) {
            written.force(true);
        }
        Files.move(beside, file, StandardCopyOption.ATOMIC_MOVE);
    }

    private AdminCall door(String at) throws IOException {
        return new AdminCall(at, tokenFile);
    }

    private List<RolloutAction> propose(Rollout rollout, String gatherer, String id) {
        try {
            JsonNode status = door(gatherer).call("GET", "/change/status", null);
            if (!before.has(gatherer)) {
                before.set(gatherer, door(gatherer).call("GET", "/change/document", null));
                keep(beforeFile(), before);
            }
            ObjectNode body =
                    MAPPER.createObjectNode()
                            .put("id", id)
                            .put("by", by)
                            .put("madeFrom", status.path("live").longValue());
            body.set("document", MAPPER.readTree(DocumentReader.write(document)));
            JsonNode answer = door(gatherer).call("POST", "/change/propose", body);
            versions.put(gatherer, answer.path("version").longValue());
            return rollout.answered(gatherer, GathererState.WATCHED, "");
        } catch (AdminCall.TurnedDownException e) {
            return rollout.answered(gatherer, GathererState.REJECTED, e.getMessage());
        } catch (IOException e) {
            return List.of();
        }
    }

    /**
     * The version that this rollout's proposal became at the gatherer, or -1 where it never came
     * there.
     */
    private long version(String gatherer, String id) throws IOException {
        if (!versions.containsKey(gatherer)) {
            try {
                versions.put(
                        gatherer,
                        door(gatherer)
                                .call("GET", "/change/proposal/" + id, null)
                                .path("version")
                                .longValue());
            } catch (AdminCall.TurnedDownException e) {
                return -1;
            }
        }
        return versions.get(gatherer);
    }

    private List<RolloutAction> ask(Rollout rollout, String gatherer, String id) {
        try {
            long version = version(gatherer, id);
            for (JsonNode of : door(gatherer).call("GET", "/change/history", null)) {
                if (of.path("version").longValue() == version) {
                    return switch (of.path("state").asText()) {
                        case "confirmed", "replaced" ->
                                rollout.answered(gatherer, GathererState.CONFIRMED, "");
                        case "undone", "set_aside" ->
                                rollout.answered(
                                        gatherer,
                                        GathererState.ROLLED_BACK,
                                        of.path("why").asText());
                        default -> rollout.answered(gatherer, GathererState.WATCHED, "");
                    };
                }
            }
        } catch (IOException e) {
            // It is asked again.
        }
        return List.of();
    }

    /** The version by which the gatherer went back, or -1. */
    private long backAt(String gatherer, String id) throws IOException {
        try {
            return door(gatherer)
                    .call("GET", "/change/proposal/" + id + "-back", null)
                    .path("version")
                    .longValue();
        } catch (AdminCall.TurnedDownException e) {
            return -1;
        }
    }

    private List<RolloutAction> takeBack(Rollout rollout, String gatherer, String id) {
        try {
            JsonNode status = door(gatherer).call("GET", "/change/status", null);
            long version = version(gatherer, id);
            long live = status.path("live").longValue();
            if (version > 0 && live == version && status.path("watched").booleanValue()) {
                door(gatherer)
                        .call(
                                "POST",
                                "/change/undo",
                                MAPPER.createObjectNode().put("version", version).put("by", by));
            } else if (version > 0 && live == version && before.has(gatherer)) {
                ObjectNode body =
                        MAPPER.createObjectNode()
                                .put("id", id + "-back")
                                .put("by", by)
                                .put("madeFrom", live);
                body.set("document", before.get(gatherer));
                door(gatherer).call("POST", "/change/propose", body);
                return List.of();
            } else if (status.path("watched").booleanValue() && live == backAt(gatherer, id)) {
                // Watched it could be undone, to the very change that is being taken back.
                door(gatherer)
                        .call(
                                "POST",
                                "/change/confirm",
                                MAPPER.createObjectNode().put("version", live).put("by", by));
            }
            // Neither live nor ever there: it serves something else by now, which is not this
            // rollout's to take back.
            return rollout.answered(gatherer, GathererState.REVERTED, "");
        } catch (IOException e) {
            return List.of();
        }
    }
}
