package sprucehold;

import java.io.IOException;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.IVersionProvider;
import picocli.CommandLine.Option;
import sprucehold.drill.Drill;
import sprucehold.node.Seat;
import sprucehold.node.Service;
import sprucehold.node.ServiceLogManager;

/** The command line. */
@Command(name = "sprucehold", description = "The root node (gatherer) of a sharded search service.",
        mixinStandardHelpOptions = true, versionProvider = Main.Version.class, synopsisSubcommandLabel = "COMMAND",
        subcommands = {Main.Serve.class, Main.DrillCommand.class, Main.Check.class, Main.VersionCommand.class})
public final class Main {
    private Main() {
    }

    public static void main(String[] args) {
        // Before the first logger is made.
        System.setProperty("java.util.logging.manager", ServiceLogManager.class.getName());
        System.setProperty("java.util.logging.SimpleFormatter.format", "%1$tFT%1$tT.%1$tL %4$s %5$s%6$s%n");
        int exit = commandLine().execute(args);
        if (exit != CommandLine.ExitCode.OK || !serves(args)) {
            System.exit(exit);
        }
    }

    static CommandLine commandLine() {
        var line = new CommandLine(new Main());
        line.setParameterExceptionHandler((e, arguments) -> {
            System.err.println("sprucehold: " + e.getMessage());
            return CommandLine.ExitCode.USAGE;
        });
        line.setExecutionExceptionHandler((e, command, parsed) -> {
            String message = e instanceof NoSuchFileException ? "no such file: " + e.getMessage() : e.getMessage();
            System.err.println("sprucehold: " + message);
            return CommandLine.ExitCode.SOFTWARE;
        });
        return line;
    }

    private static boolean serves(String[] args) {
        return args.length > 0 && args[0].equals("serve");
    }

    static final class Version implements IVersionProvider {
        @Override
        public String[] getVersion() {
            String version = Main.class.getPackage().getImplementationVersion();
            return new String[] {"sprucehold " + (version == null ? "unpackaged" : version)};
        }
    }

    /** What tells a gatherer of itself, from the environment or by option. */
    static final class Place {
        @Option(names = "--config", required = true, defaultValue = "${env:EDGE_CONFIG}", paramLabel = "FILE",
                description = "all a gatherer is told, as JSON (default: $EDGE_CONFIG)")
        Path config;
        @Option(names = "--name", defaultValue = "${env:EDGE_NAME}", description = "wins over the file's")
        String name;
        @Option(names = "--listen", defaultValue = "${env:EDGE_LISTEN}", paramLabel = "HOST:PORT",
                description = "wins over the file's")
        String listen;
        @Option(names = "--discovery", defaultValue = "${env:EDGE_DISCOVERY}", paramLabel = "HOST:PORT",
                description = "wins over the file's")
        String discovery;

        Seat seat() throws IOException {
            return Seat.read(config, name, listen, discovery);
        }
    }

    @Command(name = "serve", description = "Runs one gatherer on sockets.", mixinStandardHelpOptions = true)
    static final class Serve implements Callable<Integer> {
        @CommandLine.Mixin
        private Place place;

        @Override
        public Integer call() throws IOException, Service.StartFailedException {
            Service.start(place.seat(), Brain::new);
            return CommandLine.ExitCode.OK;
        }
    }

    @Command(name = "check", description = "Reads what a gatherer would be told, and says what it understood.",
            mixinStandardHelpOptions = true)
    static final class Check implements Callable<Integer> {
        @CommandLine.Mixin
        private Place place;

        @Override
        public Integer call() throws IOException {
            System.out.println(place.seat().summary());
            return CommandLine.ExitCode.OK;
        }
    }

    @Command(name = "drill", description = "Runs many gatherers on the bench's wire, on standard input and output.",
            mixinStandardHelpOptions = true)
    static final class DrillCommand implements Callable<Integer> {
        @Override
        public Integer call() throws IOException {
            new Drill(Brain::new).run(System.in, System.out);
            return CommandLine.ExitCode.OK;
        }
    }

    @Command(name = "version", description = "Prints the version.", mixinStandardHelpOptions = true)
    static final class VersionCommand implements Runnable {
        @Override
        public void run() {
            System.out.println(new Version().getVersion()[0]);
        }
    }
}
