package sprucehold.cli;

import picocli.CommandLine;
import picocli.CommandLine.Command;
import sprucehold.command.Check;
import sprucehold.command.Main;
import sprucehold.command.RunSmokeTest;
import sprucehold.command.Serve;
import sprucehold.command.ServeStubs;
import sprucehold.command.ShowVersion;
import sprucehold.command.Simulate;
import sprucehold.command.Version;

/** The root command: the commands of the gatherer and all of its tools. */
@Command(
        name = "sprucehold",
        description = "The root node (gatherer) of a sharded search service, and its tools.",
        mixinStandardHelpOptions = true,
        versionProvider = Version.class,
        synopsisSubcommandLabel = "COMMAND",
        subcommands = {
            Serve.class,
            Check.class,
            RunSmokeTest.class,
            ServeStubs.class,
            Simulate.class,
            ShowVersion.class,
            TraceCommand.class,
            ChangeCommand.class,
            RigCommand.class,
            LoadCommand.class,
            TogetherCommand.class
        })
public final class Sprucehold {
    private Sprucehold() {}

    public static void main(String[] args) {
        Main.configureLogging();
        int exit = commandLine().execute(args);
        // The serving commands return at once with exit code 0. Their event loops keep the process
        // running, so it must not exit here.
        if (exit != CommandLine.ExitCode.OK) {
            System.exit(exit);
        }
    }

    static CommandLine commandLine() {
        return Main.reportErrorsInOneLine(new CommandLine(new Sprucehold()));
    }
}
