package sprucehold.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import sprucehold.clustering.ClusterConfig;
import sprucehold.decision.SharedLimit;

/** The command {@code together}: shows the cluster that gatherers form, checks its settings. */
@Command(
        name = "together",
        description =
                "What gatherers that talk know together: members, shares of bounds, evidence.",
        mixinStandardHelpOptions = true,
        synopsisSubcommandLabel = "COMMAND",
        subcommands = {TogetherCommand.Status.class, TogetherCommand.Check.class})
public final class TogetherCommand {
    private TogetherCommand() {}

    @Command(
            name = "status",
            description =
                    "What one gatherer knows of the others and holds of each bound; exit 1 if it shares "
                            + "nothing, as none answers it or another has its name.",
            mixinStandardHelpOptions = true)
    static final class Status implements Callable<Integer> {
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

        @Option(names = "--json", description = "one JSON object")
        private boolean json;

        @Override
        public Integer call() throws IOException {
            JsonNode status;
            try {
                status = new AdminCall(door, tokenFile).call("GET", "/status/together", null);
            } catch (AdminCall.RequestRejectedException e) {
                throw new IOException(
                        e.getMessage().equals("no such path")
                                ? "the gatherer is not part of a cluster: it was started without --together"
                                : e.getMessage(),
                        e);
            }
            boolean shares =
                    !status.get("superseded").booleanValue()
                            && !status.get("cutOff").booleanValue();
            if (json) {
                Console.json(status);
            } else {
                print(status);
            }
            return shares ? 0 : 1;
        }

        private static void print(JsonNode status) {
            Map<String, Object> head = new LinkedHashMap<>();
            head.put("gatherer", status.get("name").asText());
            head.put("there", status.get("there").asInt() + " of " + status.get("members").size());
            if (status.get("superseded").booleanValue()) {
                head.put("shares", "nothing: another process of its name has started later");
            } else if (status.get("cutOff").booleanValue()) {
                head.put("shares", "nothing: no other answers");
            }
            JsonNode letters = status.get("letters");
            head.put(
                    "letters",
                    letters.get("sent")
                            + " sent, "
                            + letters.get("received")
                            + " received, "
                            + letters.get("unsent")
                            + " not sent, "
                            + letters.get("foreign")
                            + " foreign, "
                            + letters.get("unread")
                            + " not read");
            Console.pairs(head);
            System.out.println();
            table(
                    status.get("members"),
                    List.of("member", "site", "state", "life", "incarnation"),
                    List.of("name", "site", "state", "life", "incarnation"));
            table(
                    status.get("bounds"),
                    List.of("bound", "home", "lent", "borrowed", "used", "free"),
                    List.of("bound", "home", "lent", "borrowed", "used", "free"));
            table(
                    status.get("trouble"),
                    List.of("server that others see fail", "share"),
                    List.of("server", "trouble"));
        }

        private static void table(JsonNode entries, List<String> header, List<String> fields) {
            if (entries.isEmpty()) {
                return;
            }
            var rows = new ArrayList<List<Object>>();
            for (JsonNode entry : entries) {
                var row = new ArrayList<Object>();
                for (String field : fields) {
                    JsonNode value = entry.get(field);
                    row.add(
                            value.isIntegralNumber()
                                    ? (Object) value.longValue()
                                    : value.isNumber() ? value.doubleValue() : value.asText());
                }
                rows.add(row);
            }
            Console.table(header, rows);
            System.out.println();
        }
    }

    @Command(
            name = "check",
            description =
                    "Reads what gatherers would be told of each other, and says what it understood.",
            mixinStandardHelpOptions = true)
    static final class Check implements Callable<Integer> {
        @Parameters(paramLabel = "FILE", description = "of the form of deploy/together.schema.json")
        private Path file;

        @Option(names = "--json", description = "one JSON object")
        private boolean json;

        @Override
        public Integer call() throws IOException {
            ClusterConfig config = ClusterConfig.read(file);
            Map<String, Object> summary = new LinkedHashMap<>();
            summary.put("gatherers", config.members().size());
            summary.put(
                    "sites",
                    config.members().values().stream()
                            .map(ClusterConfig.Member::site)
                            .distinct()
                            .count());
            summary.put(
                    "cold_servers",
                    config.shared().contains(SharedLimit.Kind.SLOW_START)
                            ? "shared"
                            : "each alone");
            summary.put(
                    "customers_shares",
                    config.shared().contains(SharedLimit.Kind.TENANT_QUOTA)
                            ? "shared"
                            : "each alone");
            summary.put(
                    "further_dispatches",
                    config.shared().contains(SharedLimit.Kind.RETRIES)
                            ? config.retriesPerWindow()
                                    + " by all in "
                                    + config.retryWindowMs()
                                    + " ms"
                            : "each by its own budget");
            summary.put(
                    "clocks",
                    "up to "
                            + config.maxClockDriftPpm()
                            + " ppm off in rate, up to "
                            + config.maxClockOffsetMs()
                            + " ms apart");
            if (json) {
                Console.json(summary);
            } else {
                Console.pairs(summary);
            }
            return 0;
        }
    }
}
