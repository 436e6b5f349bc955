package sprucehold.cli;

import picocli.CommandLine.Command;

/** The tools around trace files. */
@Command(
        name = "trace",
        description = "Trace files: what gatherers decided and why, part by part.",
        mixinStandardHelpOptions = true,
        synopsisSubcommandLabel = "COMMAND",
        subcommands = {
            TraceLook.Info.class,
            TraceLook.Verify.class,
            TraceLook.Repair.class,
            TraceLook.Find.class,
            TraceLook.Explain.class,
            TraceChange.Cut.class,
            TraceChange.Merge.class,
            TraceChange.Anonymise.class,
            TraceChange.Export.class,
            TraceJudge.Summarise.class,
            TraceJudge.Diff.class,
            TraceJudge.Replay.class,
            TraceJudge.Synthesise.class
        })
public final class TraceCommand {}
