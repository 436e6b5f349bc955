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

/** The command line of people: the commands of a gatherer and all tools around it. */
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
        Main.prepareLog();
        int exit = commandLine().execute(args);
        // A command that serves has returned, and its event loop keeps the process.
        if (exit != CommandLine.ExitCode.OK) {
            System.exit(exit);
        }
    }

    static CommandLine commandLine() {
        return Main.strict(new CommandLine(new Sprucehold()));
    }
}
