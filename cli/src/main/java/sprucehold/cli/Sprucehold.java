package sprucehold.cli;

import picocli.CommandLine;
import picocli.CommandLine.Command;
import sprucehold.command.Main;

/** The command line of people: the commands of a gatherer and all tools around it. */
@Command(
        name = "sprucehold",
        description = "The root node (gatherer) of a sharded search service, and its tools.",
        mixinStandardHelpOptions = true,
        versionProvider = Main.Version.class,
        synopsisSubcommandLabel = "COMMAND",
        subcommands = {
            Main.Serve.class,
            Main.Check.class,
            Main.Rehearse.class,
            Main.StandIn.class,
            Main.DrillCommand.class,
            Main.VersionCommand.class,
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
