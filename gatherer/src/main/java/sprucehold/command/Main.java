package sprucehold.command;

import java.io.IOException;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.IVersionProvider;
import picocli.CommandLine.Option;
import sprucehold.admin.AdminConfig;
import sprucehold.node.JsonLogFormatter;
import sprucehold.node.NodeConfig;
import sprucehold.node.NodeExtension;
import sprucehold.node.Service;
import sprucehold.node.ServiceLogManager;
import sprucehold.node.SmokeTest;
import sprucehold.policy.QueryScheduler;
import sprucehold.simulation.SimulationAdapter;

/** The commands of a gatherer; what its lean jar holds. */
@Command(
        name = "sprucehold",
        description = "The root node (gatherer) of a sharded search service.",
        mixinStandardHelpOptions = true,
        versionProvider = Main.Version.class,
        synopsisSubcommandLabel = "COMMAND",
        subcommands = {
            Main.Serve.class,
            Main.DrillCommand.class,
            Main.Check.class,
            Main.Rehearse.class,
            Main.StandIn.class,
            Main.VersionCommand.class
        })
public final class Main {
    private Main() {}

    public static void main(String[] args) {
        prepareLog();
        int exit =
                args.length == 1 && args[0].equals("serve") && Serve.byEnvironmentAlone()
                        ? serve()
                        : commandLine().execute(args);
        // A command that serves has returned, and its event loop keeps the process.
        if (exit != CommandLine.ExitCode.OK) {
            System.exit(exit);
        }
    }

    /**
     * Serves as the environment says. The library that reads options is compiled for a JVM so old
     * that no archive of loaded classes takes it in: its 190 classes are loaded and verified at
     * each start, a quarter of a second on half a core.
     */
    private static int serve() {
        try {
            return Serve.ofEnvironment().call();
        } catch (IOException | Service.StartFailedException e) {
            return failed(e);
        }
    }

    private static int failed(Exception e) {
        System.err.println(
                "sprucehold: "
                        + (e instanceof NoSuchFileException
                                ? "no such file: " + e.getMessage()
                                : e.getMessage()));
        return CommandLine.ExitCode.SOFTWARE;
    }

    /** Sets the log's form; to be called before the first logger is made. */
    public static void prepareLog() {
        System.setProperty("java.util.logging.manager", ServiceLogManager.class.getName());
        System.setProperty(
                "java.util.logging.SimpleFormatter.format", "%1$tFT%1$tT.%1$tL %4$s %5$s%6$s%n");
    }

    static CommandLine commandLine() {
        return strict(new CommandLine(new Main()));
    }

    /**
     * Says what can't be done in one line on standard error, and by the exit code: 2 for bad usage,
     * else 1.
     */
    public static CommandLine strict(CommandLine line) {
        line.setParameterExceptionHandler(
                (e, arguments) -> {
                    System.err.println("sprucehold: " + e.getMessage());
                    return CommandLine.ExitCode.USAGE;
                });
        line.setExecutionExceptionHandler((e, command, parsed) -> failed(e));
        return line;
    }

    /** The version of the jar that runs. */
    public static final class Version implements IVersionProvider {
        @Override
        public String[] getVersion() {
            String version = Main.class.getPackage().getImplementationVersion();
            return new String[] {"sprucehold " + (version == null ? "unpackaged" : version)};
        }
    }

    /** What tells a gatherer of itself, from the environment or by option. */
    static final class Place {
        @Option(
                names = "--config",
                required = true,
                defaultValue = "${env:EDGE_CONFIG}",
                paramLabel = "FILE",
                description = "all a gatherer is told, as JSON (default: $EDGE_CONFIG)")
        Path config;

        @Option(
                names = "--name",
                defaultValue = "${env:EDGE_NAME}",
                description = "wins over the file's")
        String name;

        @Option(
                names = "--listen",
                defaultValue = "${env:EDGE_LISTEN}",
                paramLabel = "HOST:PORT",
                description = "wins over the file's")
        String listen;

        @Option(
                names = "--discovery",
                defaultValue = "${env:EDGE_DISCOVERY}",
                paramLabel = "HOST:PORT",
                description = "wins over the file's")
        String discovery;

        NodeConfig config() throws IOException {
            return NodeConfig.read(config, name, listen, discovery);
        }

        /** What the file says by now; where discovery is, it alone can tell. */
        NodeConfig reread() throws IOException {
            return NodeConfig.read(config, name, listen, null);
        }
    }

    /** How lines of the log look; named as they are written on the command line. */
    enum LogForm {
        text,
        json
    }

    @Command(
            name = "serve",
            description = "Runs one gatherer on sockets.",
            mixinStandardHelpOptions = true)
    public static final class Serve implements Callable<Integer> {
        @CommandLine.Mixin private Place place;

        @Option(
                names = "--recording",
                paramLabel = "FILE",
                defaultValue = "${env:SPRUCEHOLD_RECORDING}",
                description =
                        "records every decision as this file says, see deploy/recording.schema.json "
                                + "(default: $SPRUCEHOLD_RECORDING, or none)")
        private Path recording;

        @Option(
                names = "--door",
                paramLabel = "FILE",
                description =
                        "opens a door through which facts are changed "
                                + "while it serves, see deploy/door.schema.json")
        private Path door;

        @Option(
                names = "--together",
                paramLabel = "FILE",
                description =
                        "talks with other gatherers and shares bounds and "
                                + "evidence with them, see deploy/together.schema.json (default: not)")
        private Path together;

        @Option(
                names = "--log",
                paramLabel = "FORM",
                defaultValue = "text",
                description = "text, or json for a JSON " + "object a line (default: text)")
        private LogForm log;

        @Option(
                names = "--log-scans",
                defaultValue = "${env:SPRUCEHOLD_LOG_SCANS:-false}",
                description =
                        "logs each scan "
                                + "taken and ended, and each dispatch's end, as JSON lines with their ids (default: "
                                + "$SPRUCEHOLD_LOG_SCANS, or not)")
        private boolean logScans;

        /** Whether nothing is asked for but what the environment says of where it stands. */
        static boolean byEnvironmentAlone() {
            return given("EDGE_CONFIG")
                    && !given("SPRUCEHOLD_RECORDING")
                    && !given("SPRUCEHOLD_LOG_SCANS");
        }

        private static boolean given(String name) {
            return System.getenv(name) != null && !System.getenv(name).isEmpty();
        }

        /** As the options' own defaults have it. */
        static Serve ofEnvironment() {
            var serve = new Serve();
            serve.log = LogForm.text;
            serve.place = new Place();
            serve.place.config = Path.of(System.getenv("EDGE_CONFIG"));
            serve.place.name = System.getenv("EDGE_NAME");
            serve.place.listen = System.getenv("EDGE_LISTEN");
            serve.place.discovery = System.getenv("EDGE_DISCOVERY");
            return serve;
        }

        @Override
        public Integer call() throws IOException, Service.StartFailedException {
            if (log == LogForm.json) {
                JsonLogFormatter.enable();
            }
            if (logScans) {
                JsonLogFormatter.enableQueryLog();
            }
            NodeConfig config = place.config();
            AdminConfig plan = door == null ? null : AdminConfig.read(door);
            List<NodeExtension.Factory> beside =
                    together == null ? List.of() : List.of(Clustering.read(together));
            if (recording == null) {
                Service.start(
                        config,
                        QueryScheduler::new,
                        QueryScheduler::new,
                        plan,
                        beside,
                        place::reread,
                        () -> {});
            } else {
                Recording recorded = Recording.read(recording, config.name());
                Service.start(
                        config,
                        QueryScheduler::new,
                        recorded.of(QueryScheduler::new),
                        plan,
                        beside,
                        place::reread,
                        recorded::end);
            }
            return CommandLine.ExitCode.OK;
        }
    }

    @Command(
            name = "check",
            description = "Reads what a gatherer would be told, and says what it understood.",
            mixinStandardHelpOptions = true)
    public static final class Check implements Callable<Integer> {
        @CommandLine.Mixin private Place place;

        @Override
        public Integer call() throws IOException {
            System.out.println(place.config().summary());
            return CommandLine.ExitCode.OK;
        }
    }

    @Command(
            name = "rehearse",
            description =
                    "Tries a gatherer among stand-ins on free ports of this machine: a scan "
                            + "of each table type; exit 1 unless all are answered.",
            mixinStandardHelpOptions = true)
    public static final class Rehearse implements Callable<Integer> {
        @CommandLine.Mixin private Place place;

        @Override
        public Integer call() throws IOException, Service.StartFailedException {
            return SmokeTest.run(place.config(), QueryScheduler::new, System.out::println)
                    ? CommandLine.ExitCode.OK
                    : CommandLine.ExitCode.SOFTWARE;
        }
    }

    @Command(
            name = "stand-in",
            description =
                    "Stands in for the discovery and the shard servers that a gatherer would "
                            + "be told of, on their addresses.",
            mixinStandardHelpOptions = true)
    public static final class StandIn implements Callable<Integer> {
        @CommandLine.Mixin private Place place;

        @Override
        public Integer call() throws IOException, Service.StartFailedException {
            Service.standIn(place.config());
            return CommandLine.ExitCode.OK;
        }
    }

    @Command(
            name = "drill",
            description = "Runs many gatherers on the bench's wire, on standard input and output.",
            mixinStandardHelpOptions = true)
    public static final class DrillCommand implements Callable<Integer> {
        @Override
        public Integer call() throws IOException {
            new SimulationAdapter(QueryScheduler::new).run(System.in, System.out);
            return CommandLine.ExitCode.OK;
        }
    }

    @Command(name = "version", description = "Prints the version.", mixinStandardHelpOptions = true)
    public static final class VersionCommand implements Runnable {
        @Override
        public void run() {
            System.out.println(new Version().getVersion()[0]);
        }
    }
}
