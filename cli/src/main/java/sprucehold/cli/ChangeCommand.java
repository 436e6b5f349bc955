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

/** The command {@code change}: configuration changes of running gatherers. */
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

    /** Returns the document, or null after writing each validation error as a line. */
    private static ConfigurationDocument read(Path file, boolean json) throws IOException {
        DocumentReader.ReadResult read = DocumentReader.read(Files.readAllBytes(file));
        List<ValidationError> errors =
                read instanceof DocumentReader.ReadResult.Invalid invalid
                        ? invalid.errors()
                        : SemanticValidator.validate(
                                ((DocumentReader.ReadResult.Valid) read).document());
        if (errors.isEmpty()) {
            return ((DocumentReader.ReadResult.Valid) read).document();
        }
        for (ValidationError error : errors) {
            if (json) {
                Console.json(error);
            } else {
                System.err.println("sprucehold: " + file + ": " + error);
            }
        }
        return null;
    }

    private static void print(DocumentDifference difference, boolean json) {
        if (json) {
            Console.json(difference);
            return;
        }
        var rows = new ArrayList<List<Object>>();
        difference.changes().forEach(item -> rows.add(List.of(item.risk(), item.description())));
        if (rows.isEmpty()) {
            System.out.println("nothing changes");
        } else {
            Console.table(List.of("risk", "what it means"), rows);
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

    /** Options for the address of the admin server and its token. */
    static final class AdminOptions {
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
                        item ->
                                rows.add(
                                        List.of(
                                                item.get("version").asLong(),
                                                item.get("madeFrom").asLong(),
                                                item.get("by").asText(),
                                                item.get("state").asText(),
                                                item.get("why").asText())));
                Console.table(List.of("version", "made from", "by", "state", "why"), rows);
            } else {
                var pairs = TraceView.map();
                answer.properties()
                        .forEach(
                                item -> {
                                    if (!item.getValue().isContainerNode()) {
                                        pairs.put(item.getKey(), item.getValue().asText());
                                    }
                                });
                Console.pairs(pairs);
                answer.path("changes")
                        .forEach(
                                item ->
                                        System.out.println(
                                                item.get("risk").asText()
                                                        + "  "
                                                        + item.get("words").asText()));
            }
            return 0;
        }
    }

    @Command(
            name = "propose",
            description = "Proposes a document; it goes live between two moments, and is watched.",
            mixinStandardHelpOptions = true)
    static final class Propose implements Callable<Integer> {
        @Mixin private AdminOptions admin;

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
            ConfigurationDocument document = read(file, admin.json);
            if (document == null) {
                return 1;
            }
            ObjectNode body =
                    MAPPER.createObjectNode()
                            .put("id", id == null ? UUID.randomUUID().toString() : id)
                            .put("by", admin.by)
                            .put("madeFrom", madeFrom);
            body.set("document", MAPPER.readTree(DocumentReader.write(document)));
            return admin.print(admin.call("POST", "/change/propose", body));
        }
    }

    @Command(
            name = "status",
            description = "Which version is live, watched, staged, confirmed.",
            mixinStandardHelpOptions = true)
    static final class Status implements Callable<Integer> {
        @Mixin private AdminOptions admin;

        @Override
        public Integer call() throws IOException {
            return admin.print(admin.call("GET", "/change/status", null));
        }
    }

    @Command(
            name = "current",
            description = "The document in force, to make the next one from.",
            mixinStandardHelpOptions = true)
    static final class Current implements Callable<Integer> {
        @Mixin private AdminOptions admin;

        @Override
        public Integer call() throws IOException {
            System.out.println(admin.call("GET", "/change/document", null).toPrettyString());
            return 0;
        }
    }

    @Command(
            name = "history",
            description = "What became of each version.",
            mixinStandardHelpOptions = true)
    static final class History implements Callable<Integer> {
        @Mixin private AdminOptions admin;

        @Override
        public Integer call() throws IOException {
            return admin.print(admin.call("GET", "/change/history", null));
        }
    }

    @Command(
            name = "confirm",
            description = "Takes the watched version for good.",
            mixinStandardHelpOptions = true)
    static final class Confirm implements Callable<Integer> {
        @Mixin private AdminOptions admin;

        @Parameters(paramLabel = "VERSION", description = "its number")
        private long version;

        @Override
        public Integer call() throws IOException {
            return admin.print(
                    admin.call(
                            "POST",
                            "/change/confirm",
                            MAPPER.createObjectNode().put("version", version).put("by", admin.by)));
        }
    }

    @Command(
            name = "undo",
            description = "Takes a version back that is staged or watched.",
            mixinStandardHelpOptions = true)
    static final class Undo implements Callable<Integer> {
        @Mixin private AdminOptions admin;

        @Parameters(paramLabel = "VERSION", description = "its number")
        private long version;

        @Override
        public Integer call() throws IOException {
            return admin.print(
                    admin.call(
                            "POST",
                            "/change/undo",
                            MAPPER.createObjectNode().put("version", version).put("by", admin.by)));
        }
    }
}
