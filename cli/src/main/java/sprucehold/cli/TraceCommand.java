package sprucehold.cli;

import picocli.CommandLine.Command;

/** The tools around trace files. */
@Command(name = "trace", description = "Trace files: what gatherers decided and why, part by part.",
        mixinStandardHelpOptions = true, synopsisSubcommandLabel = "COMMAND")
public final class TraceCommand {
}
