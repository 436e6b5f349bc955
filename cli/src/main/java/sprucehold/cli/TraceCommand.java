package sprucehold.cli;

import picocli.CommandLine.Command;

/** The command {@code trace}: tools for trace files. */
@Command(
        name = "trace",
        description = "Trace files: what gatherers decided and why, part by part.",
        mixinStandardHelpOptions = true,
        synopsisSubcommandLabel = "COMMAND",
        subcommands = {
            TraceView.Info.class,
            TraceView.Verify.class,
            TraceView.Repair.class,
            TraceView.Find.class,
            TraceView.Explain.class,
            TraceWrite.Cut.class,
            TraceWrite.Merge.class,
            TraceWrite.Anonymise.class,
            TraceWrite.Export.class,
            TraceAnalysis.Summarise.class,
            TraceAnalysis.Diff.class,
            TraceAnalysis.Replay.class,
            TraceAnalysis.Synthesise.class
        })
public final class TraceCommand {}
