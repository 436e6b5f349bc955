package sprucehold.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import sprucehold.decision.AttemptOutcome;
import sprucehold.policy.QueryScheduler;
import sprucehold.trace.event.TraceHeader;
import sprucehold.trace.format.TraceReader;
import sprucehold.trace.format.TraceRepair;
import sprucehold.trace.format.TraceWriter;
import sprucehold.tracetools.explanation.QueryStatistics;
import sprucehold.tracetools.replay.TraceDiff;
import sprucehold.tracetools.replay.TraceReplay;
import sprucehold.tracetools.summary.QueryGroup;
import sprucehold.tracetools.summary.SummaryPage;
import sprucehold.tracetools.summary.TraceSummary;
import sprucehold.tracetools.synthetic.DayPlan;
import sprucehold.tracetools.synthetic.SyntheticDay;

/** Commands that analyse trace files, and one that generates synthetic trace files. */
final class TraceAnalysis {
    private TraceAnalysis() {}

    @Command(
            name = "summarise",
            description = "Figures by table type, customer, shard server and reason.",
            mixinStandardHelpOptions = true)
    static final class Summarise implements Callable<Integer> {
        @Parameters(paramLabel = "FILES", arity = "1..*", description = "trace files")
        private List<Path> files;

        @Option(
                names = "--html",
                paramLabel = "OUT",
                description = "writes one page with charts, which opens with no " + "network")
        private Path html;

        @Option(names = "--json", description = "one JSON object instead of tables")
        private boolean json;

        @Override
        public Integer call() throws IOException {
            var summary = new TraceSummary();
            var progress = new Console.Progress("calls");
            for (Path file : files) {
                try (TraceReader reader = TraceView.open(file)) {
                    summary.add(reader, progress::update);
                }
            }
            progress.finish();
            if (html != null) {
                Files.writeString(
                        html,
                        SummaryPage.html(
                                summary,
                                files.size() == 1
                                        ? files.get(0).getFileName().toString()
                                        : files.size() + " trace files"));
            }
            if (json) {
                Console.json(
                        TraceView.map(
                                "scans",
                                summary.all().queries(),
                                "records",
                                summary.records(),
                                "gaps",
                                summary.gaps(),
                                "not_recorded",
                                summary.notRecorded(),
                                "service",
                                summary.all().benefitRatio(),
                                "types",
                                groups(summary.byQueryClass()),
                                "customers",
                                groups(summary.byTenant()),
                                "gatherers",
                                groups(summary.byGatherer()),
                                "outcomes",
                                reasonsByOutcome(summary),
                                "reasons",
                                summary.reasons(),
                                "servers",
                                servers(summary)));
                return 0;
            }
            System.out.printf(
                    Locale.ROOT,
                    "%d scans, %d records, service %.4f%s%n%n",
                    summary.all().queries(),
                    summary.records(),
                    summary.all().benefitRatio(),
                    summary.gaps() == 0
                            ? ""
                            : ", "
                                    + summary.notRecorded()
                                    + " calls not recorded in "
                                    + summary.gaps()
                                    + " gaps");
            table("table type", summary.byQueryClass());
            table("customer", summary.byTenant());
            table("gatherer", summary.byGatherer());
            var outcomeRows = new ArrayList<List<Object>>();
            summary.outcomes()
                    .forEach(
                            (outcome, reasons) ->
                                    reasons.forEach(
                                            (reason, count) ->
                                                    outcomeRows.add(
                                                            List.of(
                                                                    outcome.description(),
                                                                    reason.description(),
                                                                    count))));
            Console.table(List.of("outcome", "because", "scans"), outcomeRows);
            System.out.println();
            var actions = new ArrayList<List<Object>>();
            summary.reasons()
                    .forEach(
                            (reason, count) ->
                                    actions.add(
                                            List.of(
                                                    reason.storedName(),
                                                    reason.description(),
                                                    count)));
            Console.table(List.of("reason", "in words", "actions"), actions);
            System.out.println();
            var rows = new ArrayList<List<Object>>();
            summary.byServer()
                    .forEach(
                            (name, group) ->
                                    rows.add(
                                            List.of(
                                                    name,
                                                    group.attempts(),
                                                    group.count(AttemptOutcome.COMPLETED),
                                                    group.count(AttemptOutcome.ERROR)
                                                            + group.count(AttemptOutcome.RESET),
                                                    group.count(AttemptOutcome.OVERLOADED)
                                                            + group.count(
                                                                    AttemptOutcome.UNREACHABLE),
                                                    group.count(AttemptOutcome.TIMED_OUT),
                                                    group.count(AttemptOutcome.CANCELLED),
                                                    group.percentileMs(50),
                                                    group.percentileMs(99),
                                                    group.skipped().values().stream()
                                                            .mapToLong(count -> count)
                                                            .sum())));
            Console.table(
                    List.of(
                            "server",
                            "dispatches",
                            "completed",
                            "failed",
                            "never ran",
                            "timed out",
                            "called off",
                            "p50 ms",
                            "p99 ms",
                            "passed over"),
                    rows);
            return 0;
        }

        private static void table(String label, Map<String, QueryGroup> groups) {
            var rows = new ArrayList<List<Object>>();
            groups.forEach(
                    (name, group) ->
                            rows.add(
                                    List.of(
                                            name,
                                            group.queries(),
                                            group.count(QueryStatistics.Outcome.COMPLETE),
                                            group.count(QueryStatistics.Outcome.PARTIAL),
                                            group.count(QueryStatistics.Outcome.REJECTED),
                                            group.count(QueryStatistics.Outcome.FAILED),
                                            group.count(
                                                    QueryStatistics.Outcome.CLIENT_DISCONNECTED),
                                            100.0
                                                    * group.metLatencyObjective()
                                                    / Math.max(1, group.queries()),
                                            group.attempts(),
                                            group.hedges(),
                                            group.percentileMs(50),
                                            group.percentileMs(99))));
            Console.table(
                    List.of(
                            label,
                            "scans",
                            "whole",
                            "in part",
                            "throttled",
                            "abandoned",
                            "left",
                            "in time %",
                            "dispatches",
                            "copies",
                            "p50 ms",
                            "p99 ms"),
                    rows);
            System.out.println();
        }

        private static Map<String, Object> reasonsByOutcome(TraceSummary summary) {
            var map = TraceView.map();
            summary.outcomes()
                    .forEach((outcome, reasons) -> map.put(outcome.storedName(), reasons));
            return map;
        }

        private static Map<String, Object> groups(Map<String, QueryGroup> groups) {
            var map = TraceView.map();
            groups.forEach(
                    (name, group) -> {
                        var outcomes = TraceView.map();
                        for (QueryStatistics.Outcome outcome : QueryStatistics.Outcome.values()) {
                            outcomes.put(outcome.storedName(), group.count(outcome));
                        }
                        map.put(
                                name,
                                TraceView.map(
                                        "scans",
                                        group.queries(),
                                        "outcomes",
                                        outcomes,
                                        "in_target_time",
                                        group.metLatencyObjective(),
                                        "service",
                                        group.benefitRatio(),
                                        "dispatches",
                                        group.attempts(),
                                        "further_tries",
                                        group.retries(),
                                        "copies",
                                        group.hedges(),
                                        "p50_ms",
                                        TraceView.finite(group.percentileMs(50)),
                                        "p99_ms",
                                        TraceView.finite(group.percentileMs(99))));
                    });
            return map;
        }

        private static Map<String, Object> servers(TraceSummary summary) {
            var map = TraceView.map();
            summary.byServer()
                    .forEach(
                            (name, group) -> {
                                var endings = TraceView.map();
                                for (AttemptOutcome outcome : AttemptOutcome.values()) {
                                    endings.put(outcome.storedName(), group.count(outcome));
                                }
                                map.put(
                                        name,
                                        TraceView.map(
                                                "dispatches",
                                                group.attempts(),
                                                "endings",
                                                endings,
                                                "p50_ms",
                                                TraceView.finite(group.percentileMs(50)),
                                                "p99_ms",
                                                TraceView.finite(group.percentileMs(99)),
                                                "passed_over",
                                                group.skipped()));
                            });
            return map;
        }
    }

    @Command(
            name = "diff",
            description =
                    "Where two files of the same day part, first decision first; exit 1 where "
                            + "they do.",
            mixinStandardHelpOptions = true)
    static final class Diff implements Callable<Integer> {
        @Parameters(index = "0", paramLabel = "A", description = "a trace file")
        private Path a;

        @Parameters(index = "1", paramLabel = "B", description = "another of the same day")
        private Path b;

        @Option(names = "--json", description = "a JSON object for each parting")
        private boolean json;

        @Override
        public Integer call() throws IOException {
            try (TraceReader first = TraceView.open(a);
                    TraceReader second = TraceView.open(b)) {
                List<TraceDiff.Difference> differences = TraceDiff.diff(first, second);
                for (TraceDiff.Difference difference : differences) {
                    if (json) {
                        Console.json(
                                TraceView.map(
                                        "gatherer",
                                        difference.gatherer(),
                                        "call",
                                        difference.seq(),
                                        "ms",
                                        difference.nowMs(),
                                        "what",
                                        difference.description()));
                    } else {
                        System.out.println(difference);
                    }
                }
                if (differences.isEmpty() && !json) {
                    System.out.println("the same, entry for entry");
                }
                return differences.isEmpty() ? 0 : 1;
            }
        }
    }

    @Command(
            name = "replay",
            description = "Decides files again with this build; exit 1 where an action differs.",
            mixinStandardHelpOptions = true)
    static final class Replay implements Callable<Integer> {
        @Parameters(
                paramLabel = "FILES",
                arity = "1..*",
                description = "all files of a gatherer since its start, " + "or a merged file")
        private List<Path> files;

        @Option(names = "--json", description = "one JSON object instead of a line")
        private boolean json;

        @Override
        public Integer call() throws IOException {
            var readers = new ArrayList<TraceReader>();
            try {
                for (Path file : files) {
                    readers.add(TraceView.open(file));
                }
                var progress = new Console.Progress("calls decided again");
                TraceReplay.ReplayResult verdict =
                        TraceReplay.replay(readers, QueryScheduler::new, progress::update);
                progress.finish();
                if (json) {
                    Console.json(
                            TraceView.map(
                                    "calls",
                                    verdict.calls(),
                                    "agreed",
                                    verdict.agreed(),
                                    "difference",
                                    verdict.difference()));
                } else if (verdict.difference() == null) {
                    System.out.println(
                            "all "
                                    + verdict.agreed()
                                    + " actions of "
                                    + verdict.calls()
                                    + " calls agree");
                } else {
                    System.out.println(
                            verdict.agreed() + " actions agree, then " + verdict.difference());
                }
                return verdict.difference() == null ? 0 : 1;
            } finally {
                for (TraceReader reader : readers) {
                    reader.close();
                }
            }
        }
    }

    @Command(
            name = "synthesise",
            description =
                    "Makes a synthetic day by driving the real module, failures included; "
                            + "one file a gatherer.",
            mixinStandardHelpOptions = true)
    static final class Synthesise implements Callable<Integer> {
        @Option(
                names = "--scans",
                paramLabel = "N",
                defaultValue = "10000",
                description = "scans that clients begin " + "(default: 10000)")
        private int scans;

        @Option(
                names = "--seed",
                paramLabel = "S",
                defaultValue = "1",
                description = "decides everything (default: 1)")
        private long seed;

        @Option(
                names = "--gatherers",
                paramLabel = "G",
                defaultValue = "3",
                description = "how many (default: 3)")
        private int gatherers;

        @Option(
                names = "--skew-s",
                paramLabel = "X",
                defaultValue = "2",
                description = "clocks differ by up to so " + "many seconds (default: 2)")
        private double skewS;

        @Option(
                names = "--drift-ppm",
                paramLabel = "Y",
                defaultValue = "20",
                description = "and drift by up to so " + "many millionths (default: 20)")
        private double driftPpm;

        @Option(
                names = "--hours",
                paramLabel = "H",
                defaultValue = "24",
                description = "how long the day is " + "(default: 24)")
        private double hours;

        @Option(
                names = "--customers",
                paramLabel = "C",
                defaultValue = "40",
                description = "how many (default: 40)")
        private int customers;

        @Option(
                names = "--troubles",
                paramLabel = "T",
                defaultValue = "60",
                description = "troubles of shard servers " + "(default: 60)")
        private int troubles;

        @Option(
                names = {"-o", "--out"},
                paramLabel = "DIR",
                required = true,
                description = "the folder to write to")
        private Path out;

        @Option(names = "--json", description = "one JSON object instead of a line a file")
        private boolean json;

        @Override
        public Integer call() throws IOException {
            var day =
                    new SyntheticDay(
                            new DayPlan(
                                    scans, seed, gatherers, skewS, driftPpm, hours, customers,
                                    troubles),
                            QueryScheduler::new);
            Files.createDirectories(out);
            var files = new ArrayList<Path>();
            var writers = new ArrayList<TraceWriter>();
            var progress = new Console.Progress("scans begun");
            try {
                for (var source : day.sources()) {
                    Path file = out.resolve(source.gatherer() + ".trace");
                    files.add(file);
                    writers.add(
                            new TraceWriter(TraceRepair.createFile(file), TraceHeader.of(source)));
                }
                day.run(
                        writers.stream().map(writer -> (SyntheticDay.Sink) writer::add).toList(),
                        progress::update);
            } finally {
                for (TraceWriter writer : writers) {
                    writer.close();
                }
            }
            progress.finish();
            if (json) {
                Console.json(TraceView.map("files", files.stream().map(Path::toString).toList()));
            } else {
                files.forEach(System.out::println);
            }
            return 0;
        }
    }
}
