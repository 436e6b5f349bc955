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
import sprucehold.trace.event.Entry;
import sprucehold.trace.event.Source;
import sprucehold.trace.format.TraceReader;
import sprucehold.trace.format.TraceRepair;
import sprucehold.tracetools.clock.ClockEstimate;
import sprucehold.tracetools.story.ScanTallies;
import sprucehold.tracetools.story.ScanTally;
import sprucehold.tracetools.story.Story;
import sprucehold.tracetools.story.Storyteller;
import sprucehold.tracetools.story.Times;

/** Commands that look at one trace file. */
final class TraceLook {
    private TraceLook() {}

    /** Says so on standard error where a file is read without its index. */
    static TraceReader open(Path file) throws IOException {
        TraceReader reader = TraceReader.open(file);
        if (reader.damage() != null) {
            System.err.println(
                    "sprucehold: "
                            + reader.damage()
                            + "; read up to the last whole block, 'trace repair' "
                            + "gives it its index back");
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

    /** A number, or null where JSON has none. */
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
                var head = reader.head();
                var sources = new ArrayList<Map<String, Object>>();
                for (Source source : head.sources()) {
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
                                    ClockEstimate.words(source.clock())));
                }
                if (json) {
                    Printed.json(
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
                                    head.oneIn(),
                                    "anonymised",
                                    head.anonymised(),
                                    "window",
                                    head.window(),
                                    "lost",
                                    head.lost(),
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
                        head.oneIn() == 1
                                ? "every scan"
                                : "scans that ended badly or late, and one in "
                                        + head.oneIn()
                                        + " of the others");
                if (head.window() != null) {
                    pairs.put(
                            "cut to",
                            Times.iso(head.window().fromMs())
                                    + " until before "
                                    + Times.iso(head.window().toMs()));
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
                for (int i = 0; i < head.lost().size(); i++) {
                    pairs.put("lost " + (i + 1), head.lost().get(i));
                }
                Printed.pairs(pairs);
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
                TraceReader.Verdict verdict = reader.verify();
                if (json) {
                    Printed.json(
                            map(
                                    "sound",
                                    verdict.sound(),
                                    "what",
                                    verdict.what(),
                                    "blocks",
                                    verdict.blocks(),
                                    "entries",
                                    verdict.entries(),
                                    "records",
                                    verdict.records()));
                } else if (verdict.sound()) {
                    System.out.println(
                            "sound: "
                                    + verdict.blocks()
                                    + " blocks, "
                                    + verdict.entries()
                                    + " calls and gaps, "
                                    + verdict.records()
                                    + " records");
                } else {
                    System.err.println("sprucehold: " + verdict.what());
                }
                return verdict.sound() ? 0 : 1;
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
            TraceRepair.Repaired done = TraceRepair.repair(file);
            if (json) {
                Printed.json(
                        map(
                                "needed",
                                done.needed(),
                                "entries",
                                done.entries(),
                                "lost_bytes",
                                done.lostBytes(),
                                "why",
                                done.why()));
            } else {
                System.out.println(
                        !done.needed()
                                ? "sound: nothing to repair"
                                : "repaired: "
                                        + done.entries()
                                        + " calls and gaps kept, "
                                        + done.lostBytes()
                                        + " bytes after them lost; "
                                        + done.why());
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
                description = "one of ${COMPLETION-CANDIDATES}")
        private ScanTally.Outcome outcome;

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
        private int most;

        @Option(names = "--json", description = "a JSON object a line instead of a table")
        private boolean json;

        @Override
        public Integer call() throws IOException {
            double fromMs = from == null ? Double.NEGATIVE_INFINITY : Times.parse(from);
            double toMs = to == null ? Double.POSITIVE_INFINITY : Times.parse(to);
            var found = new ArrayList<ScanTally>();
            long[] more = {0};
            try (TraceReader reader = open(file)) {
                var tallies =
                        new ScanTallies(
                                tally -> {
                                    Source source =
                                            reader.head().sources().get(tally.scan().source());
                                    double taken = source.clock().corrected(tally.scan().takenMs());
                                    if ((scan == null || tally.scan().taken().id().equals(scan))
                                            && (server == null || tally.servers().contains(server))
                                            && (outcome == null || tally.outcome() == outcome)
                                            && (!late || !tally.inTargetTime())
                                            && (type == null
                                                    || tally.scan()
                                                            .taken()
                                                            .queryClass()
                                                            .name()
                                                            .equals(type))
                                            && (customer == null
                                                    || tally.customer().equals(customer))
                                            && taken >= fromMs
                                            && taken < toMs) {
                                        if (found.size() < most) {
                                            found.add(tally);
                                        } else {
                                            more[0]++;
                                        }
                                    }
                                });
                // A scan may end long after the window, so only its beginning bounds what is read.
                TraceReader.Cursor cursor =
                        scan != null
                                ? reader.ofScan(scan)
                                : server != null
                                        ? reader.ofServer(server)
                                        : from != null
                                                ? reader.between(
                                                        fromMs - 60_000, Double.POSITIVE_INFINITY)
                                                : reader.all();
                for (Entry entry = cursor.next(); entry != null; entry = cursor.next()) {
                    tallies.add(entry);
                }
                tallies.end();
                found.sort(Comparator.comparingDouble(tally -> tally.scan().takenMs()));
                print(reader, found, more[0]);
            }
            return found.isEmpty() ? 1 : 0;
        }

        private void print(TraceReader reader, List<ScanTally> found, long more) {
            var rows = new ArrayList<List<Object>>();
            for (ScanTally tally : found) {
                var taken = tally.scan().taken();
                String gatherer = reader.head().sources().get(tally.scan().source()).gatherer();
                if (json) {
                    Printed.json(
                            map(
                                    "scan",
                                    taken.id(),
                                    "gatherer",
                                    gatherer,
                                    "type",
                                    taken.queryClass().name(),
                                    "customer",
                                    tally.customer(),
                                    "taken",
                                    Times.iso(tally.scan().takenMs()),
                                    "outcome",
                                    tally.outcome(),
                                    "reason",
                                    tally.reason(),
                                    "took_ms",
                                    finite(tally.tookMs()),
                                    "in_target_time",
                                    tally.inTargetTime(),
                                    "parts",
                                    tally.parts(),
                                    "dispatches",
                                    tally.dispatches(),
                                    "servers",
                                    tally.servers()));
                } else {
                    rows.add(
                            List.of(
                                    taken.id(),
                                    gatherer,
                                    taken.queryClass().name(),
                                    tally.customer(),
                                    Times.iso(tally.scan().takenMs()),
                                    tally.outcome().words(),
                                    tally.reason().description(),
                                    tally.tookMs(),
                                    tally.parts(),
                                    tally.dispatches()));
                }
            }
            if (!json && !rows.isEmpty()) {
                Printed.table(
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
            if (more > 0) {
                System.err.println("and " + more + " more: --most shows them");
            } else if (found.isEmpty()) {
                System.err.println("sprucehold: " + reader.name() + " holds no such scan");
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
                var collector = new Story.Collector(scan);
                TraceReader.Cursor cursor = reader.ofScan(scan);
                for (Entry entry = cursor.next(); entry != null; entry = cursor.next()) {
                    collector.add(entry);
                }
                List<Story> stories = collector.stories();
                if (stories.isEmpty()) {
                    System.err.println("sprucehold: " + reader.name() + " holds no scan " + scan);
                    return 1;
                }
                if (stories.size() > 1 && !json) {
                    System.out.println("the id " + scan + " came " + stories.size() + " times\n");
                }
                for (Story story : stories) {
                    Source source = reader.head().sources().get(story.tally().scan().source());
                    if (json) {
                        Printed.json(
                                map(
                                        "scan",
                                        scan,
                                        "gatherer",
                                        source.gatherer(),
                                        "outcome",
                                        story.tally().outcome(),
                                        "reason",
                                        story.tally().reason(),
                                        "lines",
                                        story.lines().stream()
                                                .map(
                                                        line ->
                                                                map(
                                                                        "call",
                                                                        line.seq(),
                                                                        "ms",
                                                                        line.nowMs(),
                                                                        "kind",
                                                                        (line.item().event() != null
                                                                                        ? line.item()
                                                                                                .event()
                                                                                        : line.item()
                                                                                                .action())
                                                                                .getClass()
                                                                                .getSimpleName(),
                                                                        "what",
                                                                        line.item().event() != null
                                                                                ? line.item()
                                                                                        .event()
                                                                                : line.item()
                                                                                        .action()))
                                                .toList()));
                    } else {
                        Storyteller.tell(story, source).forEach(System.out::println);
                    }
                }
                return 0;
            }
        }
    }
}
