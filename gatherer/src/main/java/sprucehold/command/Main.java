package sprucehold.command;

import java.io.IOException;
import java.nio.file.NoSuchFileException;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import sprucehold.node.ServiceLogManager;
import sprucehold.node.StartFailedException;

/** The command line of a gatherer: the commands that its lean jar holds. */
@Command(
        name = "sprucehold",
        description = "The root node (gatherer) of a sharded search service.",
        mixinStandardHelpOptions = true,
        versionProvider = Version.class,
        synopsisSubcommandLabel = "COMMAND",
        subcommands = {
            Serve.class,
            Simulate.class,
            Check.class,
            RunSmokeTest.class,
            ServeStubs.class,
            ShowVersion.class
        })
public final class Main {
    private Main() {}

    /** Runs a command; the process exits with its code unless it serves on. */
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
     * Serves as the environment says, without picocli: its classes are compiled for a JVM so old
     * that no archive of loaded classes takes them in, and loading and verifying them would delay
     * each start.
     */
    private static int serve() {
        try {
            return Serve.ofEnvironment().call();
        } catch (IOException | StartFailedException e) {
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
     * Has a command line report an error as one line on standard error and by the exit code: 2 for
     * bad usage, else 1.
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
}
