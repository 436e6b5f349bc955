package sprucehold.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.UUID;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import sprucehold.change.document.ConfigurationDocument;
import sprucehold.change.document.DocumentDifference;
import sprucehold.change.document.DocumentReader;
import sprucehold.change.document.SemanticValidator;
import sprucehold.change.document.ValidationError;

/** Changes of running gatherers. */
@Command(
        name = "change",
        description =
                "Changes what a running gatherer decides by: checked whole, applied at once, "
                        + "watched, undone by itself.",
        mixinStandardHelpOptions = true,
        synopsisSubcommandLabel = "COMMAND",
        subcommands = {
            ChangeCommand.Check.class,
            ChangeCommand.Diff.class,
            ChangeCommand.Propose.class,
            ChangeCommand.Status.class,
            ChangeCommand.Current.class,
            ChangeCommand.History.class,
            ChangeCommand.Confirm.class,
            ChangeCommand.Undo.class,
            RolloutCommand.class
        })
public final class ChangeCommand {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    /** Reads a document; its faults are told, a line each, and null is returned. */
    private static ConfigurationDocument read(Path file, boolean json) throws IOException {
        DocumentReader.ReadResult read = DocumentReader.read(Files.readAllBytes(file));
        List<ValidationError> faults =
                read instanceof DocumentReader.ReadResult.Invalid bad
                        ? bad.errors()
                        : SemanticValidator.validate(
                                ((DocumentReader.ReadResult.Valid) read).document());
        if (faults.isEmpty()) {
            return ((DocumentReader.ReadResult.Valid) read).document();
        }
        for (ValidationError fault : faults) {
            if (json) {
                Printed.json(fault);
            } else {
                System.err.println("sprucehold: " + file + ": " + fault);
            }
        }
        return null;
    }

    private static void print(DocumentDifference difference, boolean json) {
        if (json) {
            Printed.json(difference);
            return;
        }
        var rows = new ArrayList<List<Object>>();
        difference.changes().forEach(of -> rows.add(List.of(of.risk(), of.description())));
        if (rows.isEmpty()) {
            System.out.println("nothing changes");
        } else {
            Printed.table(List.of("risk", "what it means"), rows);
        }
    }

    @Command(
            name = "check",
            description =
                    "Checks a document by itself; every fault is told at once; exit 1 where "
                            + "there is one.",
            mixinStandardHelpOptions = true)
    static final class Check implements Callable<Integer> {
        @Parameters(
                paramLabel = "FILE",
                description = "a document of the form of deploy/change.schema.json")
        private Path file;

        @Option(names = "--json", description = "a JSON object a fault")
        private boolean json;

        @Override
        public Integer call() throws IOException {
            if (read(file, json) == null) {
                return 1;
            }
            if (!json) {
                System.out.println("sound");
            }
            return 0;
        }
    }

    @Command(
            name = "diff",
            description = "What a change from one document to another means, in words.",
            mixinStandardHelpOptions = true)
    static final class Diff implements Callable<Integer> {
        @Parameters(index = "0", paramLabel = "BEFORE", description = "a document")
        private Path before;

        @Parameters(index = "1", paramLabel = "AFTER", description = "another")
        private Path after;

        @Option(names = "--json", description = "one JSON object")
        private boolean json;

        @Override
        public Integer call() throws IOException {
            ConfigurationDocument from = read(before, json);
            ConfigurationDocument to = read(after, json);
            if (from == null || to == null) {
                return 1;
            }
            print(DocumentDifference.between(from, to), json);
            return 0;
        }
    }

    /** Where the gatherer's door is, and what opens it. */
    static final class DoorOf {
        @Option(
                names = "--door",
                paramLabel = "HOST:PORT",
                defaultValue = "127.0.0.1:8600",
                description = "the gatherer's door (default: 127.0.0.1:8600)")
        private String door;

        @Option(
                names = "--token-file",
                paramLabel = "FILE",
                required = true,
                description = "holds the door's token")
        private Path tokenFile;

        @Option(
                names = "--by",
                paramLabel = "NAME",
                defaultValue = "${sys:user.name}",
                description = "who asks " + "(default: the user's name)")
        private String by;

        @Option(names = "--json", description = "the answer as it came")
        private boolean json;

        JsonNode call(String method, String path, JsonNode body) throws IOException {
            return new AdminCall(door, tokenFile).call(method, path, body);
        }

        Integer print(JsonNode answer) {
            if (json) {
                System.out.println(answer);
            } else if (answer.isArray()) {
                var rows = new ArrayList<List<Object>>();
                answer.forEach(
                        of ->
                                rows.add(
                                        List.of(
                                                of.get("version").asLong(),
                                                of.get("madeFrom").asLong(),
                                                of.get("by").asText(),
                                                of.get("state").asText(),
                                                of.get("why").asText())));
                Printed.table(List.of("version", "made from", "by", "state", "why"), rows);
            } else {
                var pairs = TraceLook.map();
                answer.properties()
                        .forEach(
                                of -> {
                                    if (!of.getValue().isContainerNode()) {
                                        pairs.put(of.getKey(), of.getValue().asText());
                                    }
                                });
                Printed.pairs(pairs);
                answer.path("changes")
                        .forEach(
                                of ->
                                        System.out.println(
                                                of.get("risk").asText()
                                                        + "  "
                                                        + of.get("words").asText()));
            }
            return 0;
        }
    }

    @Command(
            name = "propose",
            description = "Proposes a document; it goes live between two moments, and is watched.",
            mixinStandardHelpOptions = true)
    static final class Propose implements Callable<Integer> {
        @Mixin private DoorOf door;

        @Parameters(paramLabel = "FILE", description = "the whole document that is to hold")
        private Path file;

        @Option(
                names = "--made-from",
                paramLabel = "N",
                required = true,
                description = "the version that it was made " + "from, as 'change status' tells it")
        private long madeFrom;

        @Option(
                names = "--id",
                paramLabel = "ID",
                description =
                        "the proposal's own id; the same one again is the same "
                                + "proposal (default: a new one)")
        private String id;

        @Override
        public Integer call() throws IOException {
            ConfigurationDocument document = read(file, door.json);
            if (document == null) {
                return 1;
            }
            ObjectNode body =
                    MAPPER.createObjectNode()
                            .put("id", id == null ? UUID.randomUUID().toString() : id)
                            .put("by", door.by)
                            .put("madeFrom", madeFrom);
            body.set("document", MAPPER.readTree(DocumentReader.write(document)));
            return door.print(door.call("POST", "/change/propose", body));
        }
    }

    @Command(
            name = "status",
            description = "Which version is live, watched, staged, confirmed.",
            mixinStandardHelpOptions = true)
    static final class Status implements Callable<Integer> {
        @Mixin private DoorOf door;

        @Override
        public Integer call() throws IOException {
            return door.print(door.call("GET", "/change/status", null));
        }
    }

    @Command(
            name = "current",
            description = "The document in force, to make the next one from.",
            mixinStandardHelpOptions = true)
    static final class Current implements Callable<Integer> {
        @Mixin private DoorOf door;

        @Override
        public Integer call() throws IOException {
            System.out.println(door.call("GET", "/change/document", null).toPrettyString());
            return 0;
        }
    }

    @Command(
            name = "history",
            description = "What became of each version.",
            mixinStandardHelpOptions = true)
    static final class History implements Callable<Integer> {
        @Mixin private DoorOf door;

        @Override
        public Integer call() throws IOException {
            return door.print(door.call("GET", "/change/history", null));
        }
    }

    @Command(
            name = "confirm",
            description = "Takes the watched version for good.",
            mixinStandardHelpOptions = true)
    static final class Confirm implements Callable<Integer> {
        @Mixin private DoorOf door;

        @Parameters(paramLabel = "VERSION", description = "its number")
        private long version;

        @Override
        public Integer call() throws IOException {
            return door.print(
                    door.call(
                            "POST",
                            "/change/confirm",
                            MAPPER.createObjectNode().put("version", version).put("by", door.by)));
        }
    }

    @Command(
            name = "undo",
            description = "Takes a version back that is staged or watched.",
            mixinStandardHelpOptions = true)
    static final class Undo implements Callable<Integer> {
        @Mixin private DoorOf door;

        @Parameters(paramLabel = "VERSION", description = "its number")
        private long version;

        @Override
        public Integer call() throws IOException {
            return door.print(
                    door.call(
                            "POST",
                            "/change/undo",
                            MAPPER.createObjectNode().put("version", version).put("by", door.by)));
        }
    }
}
