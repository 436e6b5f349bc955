package sprucehold.cli;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import sprucehold.storage.StoredJson;
import sprucehold.trace.event.Entry;
import sprucehold.trace.event.Source;
import sprucehold.trace.format.TraceCursor;
import sprucehold.trace.format.TraceReader;
import sprucehold.trace.format.TraceRepair;
import sprucehold.trace.format.TraceVerification;
import sprucehold.tracetools.clock.ClockEstimate;
import sprucehold.tracetools.explanation.QueryExplainer;
import sprucehold.tracetools.explanation.QueryExplanation;
import sprucehold.tracetools.explanation.QueryStatistics;
import sprucehold.tracetools.explanation.QueryStatisticsCollector;
import sprucehold.tracetools.explanation.Times;

/** Commands that read or repair one trace file. */
final class TraceView {
    private TraceView() {}

    /** Opens a trace file. Writes a warning to standard error if its index cannot be used. */
    static TraceReader open(Path file) throws IOException {
        TraceReader reader = TraceReader.open(file);
        if (reader.damage() != null) {
            System.err.println(
                    "sprucehold: "
                            + reader.damage()
                            + "; read up to the last complete block, 'trace repair' "
                            + "restores the index");
        }
        return reader;
    }

    static Map<String, Object> map(Object... namesAndValues) {
        var map = new LinkedHashMap<String, Object>();
        for (int i = 0; i < namesAndValues.length; i += 2) {
            map.put((String) namesAndValues[i], namesAndValues[i + 1]);
        }
        return map;
    }

    /** Returns the value, or null if it is infinite or NaN, which JSON cannot express. */
    static Double finite(double value) {
        return Double.isFinite(value) ? value : null;
    }

    @Command(
            name = "info",
            description = "What a file says of itself.",
            mixinStandardHelpOptions = true)
    static final class Info implements Callable<Integer> {
        @Parameters(paramLabel = "FILE", description = "a trace file")
        private Path file;

        @Option(names = "--json", description = "one JSON object instead of a table")
        private boolean json;

        @Override
        public Integer call() throws IOException {
            try (TraceReader reader = open(file)) {
                var header = reader.header();
                var sources = new ArrayList<Map<String, Object>>();
                for (Source source : header.sources()) {
                    sources.add(
                            map(
                                    "gatherer",
                                    source.gatherer(),
                                    "build",
                                    source.build(),
                                    "seed",
                                    Long.toHexString(source.seed()),
                                    "started",
                                    Times.iso(source.startedMs()),
                                    "clock",
                                    ClockEstimate.describe(source.clock())));
                }
                if (json) {
                    Console.json(
                            map(
                                    "file",
                                    file.toString(),
                                    "bytes",
                                    reader.length(),
                                    "records",
                                    reader.records(),
                                    "gaps",
                                    reader.gaps(),
                                    "sound_end",
                                    reader.damage() == null,
                                    "one_in",
                                    header.oneIn(),
                                    "anonymised",
                                    header.anonymised(),
                                    "window",
                                    header.window(),
                                    "lost",
                                    header.lost(),
                                    "sources",
                                    sources));
                    return 0;
                }
                var pairs =
                        map(
                                "bytes",
                                reader.length(),
                                "records",
                                reader.records() < 0
                                        ? "unknown without an index"
                                        : reader.records());
                if (reader.records() > 0) {
                    pairs.put(
                            "bytes a record",
                            String.format(
                                    Locale.ROOT,
                                    "%.1f",
                                    (double) reader.length() / reader.records()));
                }
                pairs.put("gaps", reader.gaps() < 0 ? "unknown without an index" : reader.gaps());
                pairs.put(
                        "keeps",
                        header.oneIn() == 1
                                ? "every scan"
                                : "scans that ended badly or late, and one in "
                                        + header.oneIn()
                                        + " of the others");
                if (header.window() != null) {
                    pairs.put(
                            "cut to",
                            Times.iso(header.window().fromMs())
                                    + " until before "
                                    + Times.iso(header.window().toMs()));
                }
                sources.forEach(
                        source ->
                                pairs.put(
                                        "gatherer " + source.get("gatherer"),
                                        source.get("build")
                                                + ", seed "
                                                + source.get("seed")
                                                + ", started "
                                                + source.get("started")
                                                + "; clock: "
                                                + source.get("clock")));
                for (int i = 0; i < header.lost().size(); i++) {
                    pairs.put("lost " + (i + 1), header.lost().get(i));
                }
                Console.pairs(pairs);
                return 0;
            }
        }
    }

    @Command(
            name = "verify",
            description = "Reads every byte of a file; exit 1 unless it is sound.",
            mixinStandardHelpOptions = true)
    static final class Verify implements Callable<Integer> {
        @Parameters(paramLabel = "FILE", description = "a trace file")
        private Path file;

        @Option(names = "--json", description = "one JSON object instead of a line")
        private boolean json;

        @Override
        public Integer call() throws IOException {
            try (TraceReader reader = TraceReader.open(file)) {
                TraceVerification verdict = reader.verify();
                if (json) {
                    Console.json(
                            map(
                                    "sound",
                                    verdict.valid(),
                                    "what",
                                    verdict.problem(),
                                    "blocks",
                                    verdict.blocks(),
                                    "entries",
                                    verdict.entries(),
                                    "records",
                                    verdict.records()));
                } else if (verdict.valid()) {
                    System.out.println(
                            "sound: "
                                    + verdict.blocks()
                                    + " blocks, "
                                    + verdict.entries()
                                    + " calls and gaps, "
                                    + verdict.records()
                                    + " records");
                } else {
                    System.err.println("sprucehold: " + verdict.problem());
                }
                return verdict.valid() ? 0 : 1;
            }
        }
    }

    @Command(
            name = "repair",
            description =
                    "Gives a file that was cut off or damaged a new index over its whole "
                            + "blocks.",
            mixinStandardHelpOptions = true)
    static final class Repair implements Callable<Integer> {
        @Parameters(
                paramLabel = "FILE",
                description = "a trace file; replaced at once when its repair is written")
        private Path file;

        @Option(names = "--json", description = "one JSON object instead of a line")
        private boolean json;

        @Override
        public Integer call() throws IOException {
            TraceRepair.Repaired repaired = TraceRepair.repair(file);
            if (json) {
                Console.json(
                        map(
                                "needed",
                                repaired.needed(),
                                "entries",
                                repaired.entries(),
                                "lost_bytes",
                                repaired.lostBytes(),
                                "why",
                                repaired.problem()));
            } else {
                System.out.println(
                        !repaired.needed()
                                ? "sound: nothing to repair"
                                : "repaired: "
                                        + repaired.entries()
                                        + " calls and gaps kept, "
                                        + repaired.lostBytes()
                                        + " bytes after them lost; "
                                        + repaired.problem());
            }
            return 0;
        }
    }

    @Command(
            name = "find",
            description = "Scans by id, shard server, outcome or time; exit 1 where there is none.",
            mixinStandardHelpOptions = true)
    static final class Find implements Callable<Integer> {
        @Parameters(paramLabel = "FILE", description = "a trace file")
        private Path file;

        @Option(names = "--scan", paramLabel = "ID", description = "the scan's id")
        private String scan;

        @Option(
                names = "--server",
                paramLabel = "NAME",
                description = "a part of it was sent to this shard server")
        private String server;

        @Option(
                names = "--outcome",
                paramLabel = "OUTCOME",
                description = "one of ${COMPLETION-CANDIDATES}",
                completionCandidates = OutcomeNames.class,
                converter = OutcomeNames.class)
        private QueryStatistics.Outcome outcome;

        @Option(
                names = "--late",
                description = "only scans that were not completed in their target time")
        private boolean late;

        @Option(names = "--type", paramLabel = "NAME", description = "the table type")
        private String type;

        @Option(names = "--customer", paramLabel = "NAME", description = "the customer")
        private String customer;

        @Option(
                names = "--from",
                paramLabel = "TIME",
                description = "taken from then on: ISO 8601 or Unix ms")
        private String from;

        @Option(names = "--to", paramLabel = "TIME", description = "taken before then")
        private String to;

        @Option(
                names = "--most",
                paramLabel = "N",
                defaultValue = "50",
                description = "at most so many (default: 50)")
        private int maxResults;

        @Option(names = "--json", description = "a JSON object a line instead of a table")
        private boolean json;

        @Override
        public Integer call() throws IOException {
            double fromMs = from == null ? Double.NEGATIVE_INFINITY : Times.parse(from);
            double toMs = to == null ? Double.POSITIVE_INFINITY : Times.parse(to);
            var found = new ArrayList<QueryStatistics>();
            long[] omitted = {0};
            try (TraceReader reader = open(file)) {
                var statisticsCollector =
                        new QueryStatisticsCollector(
                                statistics -> {
                                    Source source =
                                            reader.header()
                                                    .sources()
                                                    .get(statistics.query().source());
                                    double taken =
                                            source.clock()
                                                    .corrected(statistics.query().receivedMs());
                                    if ((scan == null
                                                    || statistics
                                                            .query()
                                                            .received()
                                                            .id()
                                                            .equals(scan))
                                            && (server == null
                                                    || statistics.servers().contains(server))
                                            && (outcome == null || statistics.outcome() == outcome)
                                            && (!late || !statistics.metLatencyObjective())
                                            && (type == null
                                                    || statistics
                                                            .query()
                                                            .received()
                                                            .queryClass()
                                                            .name()
                                                            .equals(type))
                                            && (customer == null
                                                    || statistics.tenant().equals(customer))
                                            && taken >= fromMs
                                            && taken < toMs) {
                                        if (found.size() < maxResults) {
                                            found.add(statistics);
                                        } else {
                                            omitted[0]++;
                                        }
                                    }
                                });
                // A query may end long after the time window, so only the start of the window
                // bounds the entries to read.
                TraceCursor cursor =
                        scan != null
                                ? reader.ofQuery(scan)
                                : server != null
                                        ? reader.ofServer(server)
                                        : from != null
                                                ? reader.between(
                                                        fromMs - 60_000, Double.POSITIVE_INFINITY)
                                                : reader.all();
                for (Entry entry = cursor.next(); entry != null; entry = cursor.next()) {
                    statisticsCollector.add(entry);
                }
                statisticsCollector.end();
                found.sort(
                        Comparator.comparingDouble(statistics -> statistics.query().receivedMs()));
                print(reader, found, omitted[0]);
            }
            return found.isEmpty() ? 1 : 0;
        }

        private void print(TraceReader reader, List<QueryStatistics> found, long omitted) {
            var rows = new ArrayList<List<Object>>();
            for (QueryStatistics statistics : found) {
                var taken = statistics.query().received();
                String gatherer =
                        reader.header().sources().get(statistics.query().source()).gatherer();
                if (json) {
                    Console.json(
                            map(
                                    "scan",
                                    taken.id(),
                                    "gatherer",
                                    gatherer,
                                    "type",
                                    taken.queryClass().name(),
                                    "customer",
                                    statistics.tenant(),
                                    "taken",
                                    Times.iso(statistics.query().receivedMs()),
                                    "outcome",
                                    statistics.outcome().storedName(),
                                    "reason",
                                    statistics.reason(),
                                    "took_ms",
                                    finite(statistics.durationMs()),
                                    "in_target_time",
                                    statistics.metLatencyObjective(),
                                    "parts",
                                    statistics.parts(),
                                    "dispatches",
                                    statistics.attempts(),
                                    "servers",
                                    statistics.servers()));
                } else {
                    rows.add(
                            List.of(
                                    taken.id(),
                                    gatherer,
                                    taken.queryClass().name(),
                                    statistics.tenant(),
                                    Times.iso(statistics.query().receivedMs()),
                                    statistics.outcome().description(),
                                    statistics.reason().description(),
                                    statistics.durationMs(),
                                    statistics.parts(),
                                    statistics.attempts()));
                }
            }
            if (!json && !rows.isEmpty()) {
                Console.table(
                        List.of(
                                "scan",
                                "gatherer",
                                "type",
                                "customer",
                                "taken",
                                "outcome",
                                "because",
                                "took ms",
                                "parts",
                                "dispatches"),
                        rows);
            }
            if (omitted > 0) {
                System.err.println("and " + omitted + " more: --most shows them");
            } else if (found.isEmpty()) {
                System.err.println("sprucehold: " + reader.name() + " contains no such scan");
            }
        }
    }

    @Command(
            name = "explain",
            description =
                    "One scan's story in plain words and a time line; exit 1 where it isn't "
                            + "there.",
            mixinStandardHelpOptions = true)
    static final class Explain implements Callable<Integer> {
        @Parameters(paramLabel = "FILE", description = "a trace file")
        private Path file;

        @Option(names = "--scan", paramLabel = "ID", required = true, description = "the scan's id")
        private String scan;

        @Option(
                names = "--json",
                description = "a JSON object for each scan of that id instead of words")
        private boolean json;

        @Override
        public Integer call() throws IOException {
            try (TraceReader reader = open(file)) {
                var collector = new QueryExplanation.Collector(scan);
                TraceCursor cursor = reader.ofQuery(scan);
                for (Entry entry = cursor.next(); entry != null; entry = cursor.next()) {
                    collector.add(entry);
                }
                List<QueryExplanation> explanations = collector.explanations();
                if (explanations.isEmpty()) {
                    System.err.println(
                            "sprucehold: " + reader.name() + " contains no scan " + scan);
                    return 1;
                }
                if (explanations.size() > 1 && !json) {
                    System.out.println(
                            "the id " + scan + " came " + explanations.size() + " times\n");
                }
                for (QueryExplanation explanation : explanations) {
                    Source source =
                            reader.header()
                                    .sources()
                                    .get(explanation.statistics().query().source());
                    if (json) {
                        Console.json(
                                map(
                                        "scan",
                                        scan,
                                        "gatherer",
                                        source.gatherer(),
                                        "outcome",
                                        explanation.statistics().outcome().storedName(),
                                        "reason",
                                        explanation.statistics().reason(),
                                        "lines",
                                        explanation.lines().stream()
                                                .map(
                                                        line ->
                                                                map(
                                                                        "call",
                                                                        line.seq(),
                                                                        "ms",
                                                                        line.nowMs(),
                                                                        "kind",
                                                                        StoredJson.kind(
                                                                                line.item()
                                                                                        .eventOrCommand()),
                                                                        "what",
                                                                        line.item()
                                                                                .eventOrCommand()))
                                                .toList()));
                    } else {
                        QueryExplainer.describe(explanation, source).forEach(System.out::println);
                    }
                }
                return 0;
            }
        }
    }
}
