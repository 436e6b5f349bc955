package sprucehold.command;

import java.io.IOException;
import java.nio.file.NoSuchFileException;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import sprucehold.node.ServiceLogManager;
import sprucehold.node.StartFailedException;

/** Command line of a gatherer, with the commands that are part of its small jar. */
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

    /**
     * Runs a command. The process exits with the command's exit code, unless the command keeps
     * serving.
     */
    public static void main(String[] args) {
        configureLogging();
        int exit =
                args.length == 1 && args[0].equals("serve") && Serve.configuredByEnvironmentOnly()
                        ? serve()
                        : commandLine().execute(args);
        // A command that serves returns at once; the thread of its event loop keeps the process
        // alive.
        if (exit != CommandLine.ExitCode.OK) {
            System.exit(exit);
        }
    }

    /**
     * Serves with the configuration from environment variables, without picocli. The class files of
     * picocli target a JVM so old that a class data archive can't contain them, so loading and
     * verifying them would delay each start.
     */
    private static int serve() {
        try {
            return Serve.fromEnvironment().call();
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

    /** Sets the log's manager and format; to be called before the first logger is created. */
    public static void configureLogging() {
        System.setProperty("java.util.logging.manager", ServiceLogManager.class.getName());
        System.setProperty(
                "java.util.logging.SimpleFormatter.format", "%1$tFT%1$tT.%1$tL %4$s %5$s%6$s%n");
    }

    static CommandLine commandLine() {
        return reportErrorsInOneLine(new CommandLine(new Main()));
    }

    /**
     * Makes a command line report an error as one line on standard error and by the exit code: 2
     * for invalid usage, 1 for all other errors.
     */
    public static CommandLine reportErrorsInOneLine(CommandLine line) {
        line.setParameterExceptionHandler(
                (e, arguments) -> {
                    System.err.println("sprucehold: " + e.getMessage());
                    return CommandLine.ExitCode.USAGE;
                });
        line.setExecutionExceptionHandler((e, command, parsed) -> failed(e));
        return line;
    }
}
