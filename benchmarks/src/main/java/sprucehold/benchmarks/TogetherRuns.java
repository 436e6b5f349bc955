package sprucehold.benchmarks;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import sprucehold.rig.process.GathererProgram;
import sprucehold.rig.run.Run;
import sprucehold.rig.run.RunFolder;
import sprucehold.rig.script.Script;
import sprucehold.rig.script.ScriptReader;
import sprucehold.rig.verdict.Verdict;
import sprucehold.standin.ledger.Seen;

/**
 * Compares gatherers that form a cluster with gatherers that do not, as processes on the rig. Both
 * play the same plan. Prints the number of retries and hedged requests, the largest number of them
 * that all gatherers sent in one window, the shared limit on that number, the highest load on a
 * server in slow start, and the share of queries completed in time. Arguments: number of seeds,
 * number of gatherers per site (0 for the number in the script), then scripts; without scripts all
 * shipped {@code together} scripts are played.
 */
public final class TogetherRuns {
    private static final List<String> SHIPPED_CLUSTER_SCRIPTS =
            ScriptReader.SHIPPED_SCRIPTS.stream()
                    .filter(name -> name.startsWith("together"))
                    .toList();

    private TogetherRuns() {}

    /** Result of one run; {@code further} counts the attempts on a part after its first. */
    private record Play(Verdict verdict, int further, int mostInWindow) {}

    public static void main(String[] args) throws IOException {
        int seeds = args.length > 0 ? Integer.parseInt(args[0]) : 1;
        int perSite = args.length > 1 ? Integer.parseInt(args[1]) : 0;
        List<String> names =
                args.length > 2 ? List.of(args).subList(2, args.length) : SHIPPED_CLUSTER_SCRIPTS;
        System.out.printf(
                Locale.ROOT,
                "%-17s %4s %-8s %-11s %9s %8s %14s %10s %8s %5s%n",
                "script",
                "seed",
                "way",
                "verdict",
                "in time",
                "further",
                "fullest window",
                "cold push",
                "memory",
                "cores");
        boolean noneBroken = true;
        for (String name : names) {
            Script script = withGatherersPerSite(ScriptReader.read(name), perSite);
            var together = new ArrayList<Play>();
            var alone = new ArrayList<Play>();
            for (long seed = 1; seed <= seeds; seed++) {
                together.add(play(name, script, seed, "together", script));
                alone.add(play(name, script.withoutCluster(), seed, "alone", script));
            }
            for (Play current : together) {
                noneBroken &= current.verdict.kind() != Verdict.Kind.BROKEN;
            }
            System.out.printf(
                    Locale.ROOT,
                    "%-17s mean %-8s in time %.4f beside %.4f, further %.1f beside %.1f%n",
                    name,
                    "",
                    together.stream()
                            .mapToDouble(current -> current.verdict.figures().service())
                            .average()
                            .orElse(0),
                    alone.stream()
                            .mapToDouble(current -> current.verdict.figures().service())
                            .average()
                            .orElse(0),
                    together.stream().mapToInt(current -> current.further).average().orElse(0),
                    alone.stream().mapToInt(current -> current.further).average().orElse(0));
        }
        System.exit(noneBroken ? 0 : 1);
    }

    /**
     * Returns the script with another number of gatherers per site. The shared limit is scaled by
     * the number of gatherers; the load is not.
     */
    private static Script withGatherersPerSite(Script script, int perSite) {
        if (perSite == 0) {
            return script;
        }
        var sites =
                script.sites().stream()
                        .map(site -> new Script.Site(site.name(), perSite, site.holders()))
                        .toList();
        int before = script.sites().stream().mapToInt(Script.Site::gatherers).sum();
        var shared = script.together();
        return new Script(
                script.name(),
                script.lengthS(),
                sites,
                script.segments(),
                script.cells(),
                script.tableTypes(),
                script.customers(),
                script.servers(),
                script.limits(),
                script.coldRule(),
                script.budget(),
                script.frontLearnsMs(),
                script.load(),
                script.faults(),
                script.bands(),
                new Script.Together(
                        shared.further() * perSite * sites.size() / before,
                        shared.furtherWindowMs(),
                        shared.driftPpm(),
                        shared.clocksOffMs()));
    }

    private static Play play(String name, Script script, long seed, String mode, Script shared)
            throws IOException {
        Path folder = Files.createTempDirectory("together-run-");
        try {
            RunFolder run = RunFolder.make(folder);
            Verdict verdict = Run.play(script, seed, GathererProgram.find(), run, line -> {});
            Play play = count(run, verdict, shared.together().furtherWindowMs());
            System.out.printf(
                    Locale.ROOT,
                    "%-17s %4d %-8s %-11s %9.4f %8d %7d of %-4d %10.2f %5.0f MB %5.3f%s%n",
                    name,
                    seed,
                    mode,
                    verdict.kind().name().toLowerCase(Locale.ROOT),
                    verdict.figures().service(),
                    play.further,
                    play.mostInWindow,
                    shared.together().further(),
                    verdict.figures().coldMost(),
                    verdict.figures().memoryMb(),
                    verdict.figures().gathererCores(),
                    verdict.why().isEmpty() ? "" : "  " + verdict.why().get(0));
            return play;
        } finally {
            try (var all = Files.walk(folder)) {
                for (Path path : all.sorted(Comparator.reverseOrder()).toList()) {
                    Files.delete(path);
                }
            }
        }
    }

    private static Play count(RunFolder run, Verdict verdict, double windowMs) throws IOException {
        var knownParts = new HashSet<String>();
        var window = new ArrayDeque<Double>();
        int further = 0;
        int mostInWindow = 0;
        List<Seen> seen =
                run.seen().stream().sorted(Comparator.comparingDouble(Seen::atMs)).toList();
        for (Seen current : seen) {
            if (current instanceof Seen.Arrived arrived
                    && !knownParts.add(arrived.scan() + " " + arrived.segment())) {
                further++;
                window.add(arrived.atMs());
                while (window.peek() <= arrived.atMs() - windowMs) {
                    window.poll();
                }
                mostInWindow = Math.max(mostInWindow, window.size());
            }
        }
        return new Play(verdict, further, mostInWindow);
    }
}
