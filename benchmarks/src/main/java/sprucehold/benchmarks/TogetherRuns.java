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
 * Gatherers that talk beside the same that don't, as processes on the rig, paired by plan: what of
 * the bound on further dispatches was used, the fullest window over all gatherers, what cold
 * servers were pushed by, and what was served. Arguments: how many seeds, how many gatherers a site
 * (0 for as many as the script has), then scripts; all that come along if none.
 */
public final class TogetherRuns {
    private static final List<String> ALL =
            ScriptReader.SHIPPED.stream().filter(name -> name.startsWith("together")).toList();

    private TogetherRuns() {}

    /** What one play came to. */
    private record Play(Verdict verdict, int further, int fullest) {}

    public static void main(String[] args) throws IOException {
        int seeds = args.length > 0 ? Integer.parseInt(args[0]) : 1;
        int perSite = args.length > 1 ? Integer.parseInt(args[1]) : 0;
        List<String> names = args.length > 2 ? List.of(args).subList(2, args.length) : ALL;
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
        boolean sound = true;
        for (String name : names) {
            Script script = sized(ScriptReader.read(name), perSite);
            var together = new ArrayList<Play>();
            var alone = new ArrayList<Play>();
            for (long seed = 1; seed <= seeds; seed++) {
                together.add(play(name, script, seed, "together", script));
                alone.add(play(name, script.alone(), seed, "alone", script));
            }
            for (Play one : together) {
                sound &= one.verdict.kind() != Verdict.Kind.BROKEN;
            }
            System.out.printf(
                    Locale.ROOT,
                    "%-17s mean %-8s in time %.4f beside %.4f, further %.1f beside %.1f%n",
                    name,
                    "",
                    together.stream()
                            .mapToDouble(one -> one.verdict.figures().service())
                            .average()
                            .orElse(0),
                    alone.stream()
                            .mapToDouble(one -> one.verdict.figures().service())
                            .average()
                            .orElse(0),
                    together.stream().mapToInt(one -> one.further).average().orElse(0),
                    alone.stream().mapToInt(one -> one.further).average().orElse(0));
        }
        System.exit(sound ? 0 : 1);
    }

    /** The same with other numbers of gatherers; the bound grows with them, the load doesn't. */
    private static Script sized(Script script, int perSite) {
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

    private static Play play(String name, Script script, long seed, String way, Script shared)
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
                    way,
                    verdict.kind().name().toLowerCase(Locale.ROOT),
                    verdict.figures().service(),
                    play.further,
                    play.fullest,
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
        var first = new HashSet<String>();
        var window = new ArrayDeque<Double>();
        int further = 0;
        int fullest = 0;
        List<Seen> seen =
                run.seen().stream().sorted(Comparator.comparingDouble(Seen::atMs)).toList();
        for (Seen one : seen) {
            if (one instanceof Seen.Arrived arrived
                    && !first.add(arrived.scan() + " " + arrived.segment())) {
                further++;
                window.add(arrived.atMs());
                while (window.peek() <= arrived.atMs() - windowMs) {
                    window.poll();
                }
                fullest = Math.max(fullest, window.size());
            }
        }
        return new Play(verdict, further, fullest);
    }
}
