package sprucehold.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import sprucehold.rig.plan.Plan;
import sprucehold.rig.plan.Planner;
import sprucehold.rig.process.GathererProgram;
import sprucehold.rig.report.RunPage;
import sprucehold.rig.run.Run;
import sprucehold.rig.run.RunFolder;
import sprucehold.rig.script.Script;
import sprucehold.rig.script.ScriptReader;
import sprucehold.rig.script.ScriptWriter;
import sprucehold.rig.shrink.RandomFaults;
import sprucehold.rig.shrink.Shrinker;
import sprucehold.rig.verdict.Figures;
import sprucehold.rig.verdict.Spread;
import sprucehold.rig.verdict.Verdict;

/**
 * The command {@code rig}: starts many gatherers on this machine, injects faults between them and
 * judges the run by the six rules.
 */
@Command(
        name = "rig",
        description =
                "Starts many gatherers on this machine, injects faults between them and judges them by "
                        + "the six rules.",
        mixinStandardHelpOptions = true,
        synopsisSubcommandLabel = "COMMAND",
        subcommands = {
            RigCommand.RunOne.class,
            RigCommand.Check.class,
            RigCommand.Replay.class,
            RigCommand.Report.class,
            RigCommand.Shrink.class,
            RigCommand.StormRuns.class,
            RigCommand.Repeat.class
        })
public final class RigCommand {
    private RigCommand() {}

    private static final String SCRIPT =
            "a file by deploy/rig.schema.json, or one of those that come along: calm, one-killed, "
                    + "half-killed, site-cut, deaf, rolling-restart, restarts-among-hanging, held-up-among-leaving, grey, four-sites, together, "
                    + "together-cut, together-alone, together-deaf, together-paused, together-clocks, together-killed, together-liar, "
                    + "together-twin, together-flood";

    /** Plays a script, writes the page of the run to its folder and returns the verdict. */
    private static Verdict play(Script script, long seed, Path folder, boolean quiet)
            throws IOException {
        RunFolder run = RunFolder.make(folder);
        Verdict verdict =
                Run.play(
                        script,
                        seed,
                        GathererProgram.find(),
                        run,
                        line -> {
                            if (!quiet) {
                                System.err.println(line);
                            }
                        });
        page(run, verdict);
        return verdict;
    }

    private static void page(RunFolder run, Verdict verdict) throws IOException {
        RunFolder.Kept kept = run.kept();
        Files.writeString(
                run.folder().resolve("page.html"), RunPage.html(run.script(), kept, verdict));
        Files.writeString(run.folder().resolve("service.svg"), RunPage.svg(kept));
    }

    private static int print(Verdict verdict, Path folder, boolean json) {
        if (json) {
            var map = new LinkedHashMap<String, Object>();
            map.put("verdict", verdict.kind().name());
            map.put("why", verdict.why());
            map.put("figures", verdict.figures());
            map.put("folder", folder.toString());
            Console.json(map);
        } else {
            System.out.println(verdict.kind().name().toLowerCase(Locale.ROOT).replace('_', ' '));
            verdict.why().stream().limit(20).forEach(why -> System.out.println("  " + why));
            if (verdict.why().size() > 20) {
                System.out.println("  and " + (verdict.why().size() - 20) + " more");
            }
            Console.pairs(RunPage.figures(verdict));
            System.out.println("page: " + folder.resolve("page.html"));
        }
        return verdict.kind().exit();
    }

    private static Path folder(Path named, String script, long seed) throws IOException {
        return named == null
                ? Files.createTempDirectory(
                        "rig-"
                                + Path.of(script).getFileName().toString().replace(".json", "")
                                + "-"
                                + seed
                                + "-")
                : named;
    }

    @Command(
            name = "run",
            description =
                    "Plays a script and judges it; exit 0 if all is well, 1 if a rule or a band is "
                            + "broken, 3 if the rig was too late for the run to count.",
            mixinStandardHelpOptions = true)
    static final class RunOne implements Callable<Integer> {
        @Parameters(paramLabel = "SCRIPT", description = SCRIPT)
        private String script;

        @Option(
                names = "--seed",
                defaultValue = "1",
                description = "of all chance in the plan (default: 1)")
        private long seed;

        @Option(
                names = {"-o", "--out"},
                paramLabel = "FOLDER",
                description = "where the run is kept (default: a new one)")
        private Path out;

        @Option(names = "--json", description = "one JSON object instead of lines")
        private boolean json;

        @Option(names = "--quiet", description = "no progress on standard error")
        private boolean quiet;

        @Option(
                names = "--alone",
                description =
                        "its gatherers don't talk, and each has an equal part of what the script shares")
        private boolean alone;

        @Override
        public Integer call() throws IOException {
            Path folder = folder(out, script, seed);
            Script read = ScriptReader.read(script);
            return print(
                    play(alone ? read.withoutCluster() : read, seed, folder, quiet), folder, json);
        }
    }

    @Command(
            name = "check",
            description = "Reads a script, draws its plan and says what would be played.",
            mixinStandardHelpOptions = true)
    static final class Check implements Callable<Integer> {
        @Parameters(paramLabel = "SCRIPT", description = SCRIPT)
        private String script;

        @Option(
                names = "--seed",
                defaultValue = "1",
                description = "of all chance in the plan (default: 1)")
        private long seed;

        @Option(names = "--plan", description = "prints the whole plan as JSON")
        private boolean whole;

        @Option(names = "--json", description = "one JSON object instead of lines")
        private boolean json;

        @Override
        public Integer call() throws IOException {
            Script read = ScriptReader.read(script);
            Plan plan = Planner.plan(read, seed);
            if (whole) {
                System.out.write(Planner.json(plan));
                System.out.println();
                return 0;
            }
            Map<String, Object> summary = new LinkedHashMap<>();
            summary.put("name", read.name());
            summary.put("gatherers", plan.gatherers().size());
            summary.put("shard_servers", plan.servers().size());
            summary.put("scans", plan.asks().size());
            summary.put("seconds", read.lengthS());
            summary.put(
                    "faults",
                    plan.faults().stream()
                            .map(
                                    fault ->
                                            fault.fault().name()
                                                    + ": "
                                                    + ScriptReader.kindName(fault.fault().kind())
                                                    + " "
                                                    + String.join(" ", fault.of())
                                                    + (fault.to().isEmpty()
                                                            ? ""
                                                            : " to "
                                                                    + String.join(" ", fault.to())))
                            .toList());
            if (json) {
                Console.json(summary);
            } else {
                Console.pairs(summary);
            }
            return 0;
        }
    }

    @Command(
            name = "replay",
            description = "Judges a run's kept ledgers again.",
            mixinStandardHelpOptions = true)
    static final class Replay implements Callable<Integer> {
        @Parameters(paramLabel = "FOLDER", description = "a run's folder")
        private Path folder;

        @Option(names = "--json", description = "one JSON object instead of lines")
        private boolean json;

        @Override
        public Integer call() throws IOException {
            return print(new RunFolder(folder).judge(), folder, json);
        }
    }

    @Command(
            name = "report",
            description = "Writes a run's page and chart again.",
            mixinStandardHelpOptions = true)
    static final class Report implements Callable<Integer> {
        @Parameters(paramLabel = "FOLDER", description = "a run's folder")
        private Path folder;

        @Option(names = "--json", description = "one JSON object instead of lines")
        private boolean json;

        @Override
        public Integer call() throws IOException {
            var run = new RunFolder(folder);
            page(run, run.judge());
            Map<String, Object> written = new LinkedHashMap<>();
            written.put("page", folder.resolve("page.html").toString());
            written.put("chart", folder.resolve("service.svg").toString());
            if (json) {
                Console.json(written);
            } else {
                Console.pairs(written);
            }
            return 0;
        }
    }

    @Command(
            name = "shrink",
            description =
                    "Drops a script's faults one at a time while it stays broken, and writes the "
                            + "fewest as a script.",
            mixinStandardHelpOptions = true)
    static final class Shrink implements Callable<Integer> {
        @Parameters(paramLabel = "SCRIPT", description = SCRIPT)
        private String script;

        @Option(
                names = "--seed",
                defaultValue = "1",
                description = "of all chance in the plan (default: 1)")
        private long seed;

        @Option(
                names = "--plays",
                defaultValue = "2",
                description = "plays of each trial: broken in one is broken (default: 2)")
        private int plays;

        @Option(
                names = {"-o", "--out"},
                paramLabel = "OUT",
                required = true,
                description = "the script to write")
        private Path out;

        @Option(names = "--json", description = "one JSON object instead of a line")
        private boolean json;

        @Override
        public Integer call() throws IOException {
            Script whole = ScriptReader.read(script);
            if (!broken(whole)) {
                throw new IOException(
                        script
                                + ": verdict BROKEN in none of "
                                + plays
                                + " plays with seed "
                                + seed
                                + "; expected a script with that verdict");
            }
            var left = Shrinker.shrink(whole.faults(), faults -> broken(whole.with(faults)));
            Files.writeString(out, ScriptWriter.json(whole.with(left)));
            if (json) {
                Console.json(Map.of("faults", left.size(), "out", out.toString()));
            } else {
                System.out.println(
                        left.size()
                                + " of "
                                + whole.faults().size()
                                + " faults are left, in "
                                + out);
            }
            return 0;
        }

        private boolean broken(Script trial) throws IOException {
            for (int i = 0; i < plays; i++) {
                Verdict verdict = play(trial, seed, folder(null, "shrink", seed), true);
                System.err.println(trial.faults().size() + " faults: " + verdict.kind());
                if (verdict.kind() == Verdict.Kind.BROKEN) {
                    return true;
                }
            }
            return false;
        }
    }

    @Command(
            name = "repeat",
            description =
                    "Plays one plan again and again and prints how far its figures lie apart; exit 1 "
                            + "if a run is broken or out of band.",
            mixinStandardHelpOptions = true)
    static final class Repeat implements Callable<Integer> {
        @Parameters(paramLabel = "SCRIPT", description = SCRIPT)
        private String script;

        @Option(
                names = "--seed",
                defaultValue = "1",
                description = "of all chance in the plan (default: 1)")
        private long seed;

        @Option(names = "--runs", defaultValue = "10", description = "how many (default: 10)")
        private int runs;

        @Option(
                names = "--alone",
                description =
                        "its gatherers don't talk, and each has an equal part of what the script shares")
        private boolean alone;

        @Option(names = "--json", description = "one JSON object instead of a table")
        private boolean json;

        @Override
        public Integer call() throws IOException {
            Script written = ScriptReader.read(script);
            Script read = alone ? written.withoutCluster() : written;
            var figures = new ArrayList<Figures>();
            int bad = 0;
            int starved = 0;
            for (int i = 0; i < runs; i++) {
                Verdict verdict = play(read, seed, folder(null, script, seed), true);
                if (verdict.kind() == Verdict.Kind.STARVED) {
                    starved++;
                } else {
                    figures.add(verdict.figures());
                    bad += verdict.kind() == Verdict.Kind.PASSED ? 0 : 1;
                }
                System.err.printf(
                        Locale.ROOT,
                        "run %d: %s, in target time %.4f%s%n",
                        i + 1,
                        verdict.kind(),
                        verdict.figures().service(),
                        verdict.why().isEmpty() ? "" : "; " + verdict.why().get(0));
            }
            Map<String, Spread> spreads = Spread.of(figures);
            if (json) {
                Console.json(
                        Map.of(
                                "runs",
                                runs,
                                "not_passed",
                                bad,
                                "starved",
                                starved,
                                "spreads",
                                spreads));
            } else {
                Console.table(
                        List.of("figure", "least", "median", "most"),
                        spreads.entrySet().stream()
                                .map(
                                        entry ->
                                                List.of(
                                                        entry.getKey(),
                                                        number(entry.getValue().least()),
                                                        number(entry.getValue().median()),
                                                        number(entry.getValue().most())))
                                .toList());
                System.out.println(
                        runs + " runs: " + bad + " not passed, " + starved + " don't count");
            }
            return bad == 0 ? 0 : 1;
        }

        private static String number(double value) {
            return String.format(Locale.ROOT, "%.3f", value);
        }
    }

    @Command(
            name = "storm",
            description =
                    "Plays faults drawn by chance, run after run, and keeps those that break a rule; "
                            + "exit 1 if any does.",
            mixinStandardHelpOptions = true)
    static final class StormRuns implements Callable<Integer> {
        @Parameters(
                paramLabel = "SCRIPT",
                defaultValue = "calm",
                description = SCRIPT + "; its own faults are replaced")
        private String script;

        @Option(
                names = "--seed",
                defaultValue = "1",
                description = "of the first run; each next has the next (default: 1)")
        private long seed;

        @Option(names = "--runs", defaultValue = "200", description = "how many (default: 200)")
        private int runs;

        @Option(
                names = {"-o", "--out"},
                paramLabel = "FOLDER",
                required = true,
                description = "where broken runs are kept")
        private Path out;

        @Option(names = "--json", description = "one JSON object a run instead of a line")
        private boolean json;

        @Override
        public Integer call() throws IOException {
            Script base = ScriptReader.read(script);
            int starved = 0;
            var broken = new ArrayList<Long>();
            for (long runSeed = seed; runSeed < seed + runs; runSeed++) {
                Path folder = out.resolve("run-" + runSeed);
                Verdict verdict;
                try {
                    verdict = play(RandomFaults.draw(base, runSeed), runSeed, folder, true);
                } catch (IOException e) {
                    // A failure of the rig itself is no verdict about the gatherers: the run counts
                    // as starved, and the remaining runs are still played.
                    System.err.println("seed " + runSeed + ": the rig failed: " + e.getMessage());
                    starved++;
                    continue;
                }
                if (json) {
                    Console.json(
                            Map.of(
                                    "seed",
                                    runSeed,
                                    "verdict",
                                    verdict.kind().name(),
                                    "service",
                                    verdict.figures().service(),
                                    "why",
                                    verdict.why()));
                } else {
                    System.out.printf(
                            Locale.ROOT,
                            "seed %d: %s, service %.3f%s%n",
                            runSeed,
                            verdict.kind(),
                            verdict.figures().service(),
                            verdict.why().isEmpty() ? "" : "; " + verdict.why().get(0));
                }
                if (verdict.kind() == Verdict.Kind.BROKEN) {
                    broken.add(runSeed);
                } else {
                    starved += verdict.kind() == Verdict.Kind.STARVED ? 1 : 0;
                    remove(folder);
                }
            }
            if (!json) {
                System.out.println(
                        runs
                                + " runs: "
                                + broken.size()
                                + " broken "
                                + broken
                                + ", "
                                + starved
                                + " don't count");
            }
            return broken.isEmpty() ? 0 : 1;
        }

        private static void remove(Path folder) throws IOException {
            List<Path> files;
            try (var all = Files.list(folder)) {
                files = all.toList();
            }
            for (Path file : files) {
                Files.delete(file);
            }
            Files.delete(folder);
        }
    }
}
