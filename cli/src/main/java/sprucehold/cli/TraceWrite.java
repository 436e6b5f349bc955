package sprucehold.cli;

import java.io.BufferedWriter;
import java.io.IOException;
import java.io.OutputStreamWriter;
import java.io.Writer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import picocli.CommandLine.ArgGroup;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import sprucehold.trace.event.TraceHeader;
import sprucehold.trace.format.TraceReader;
import sprucehold.tracetools.anonymise.Anonymiser;
import sprucehold.tracetools.clock.ClockEstimate;
import sprucehold.tracetools.cut.TraceCut;
import sprucehold.tracetools.explanation.Times;
import sprucehold.tracetools.export.TraceExport;
import sprucehold.tracetools.merge.TraceMerge;

/** Commands that write a new file from trace files. */
final class TraceWrite {
    private TraceWrite() {}

    /**
     * Throws if the output is one of the inputs, because opening it for writing would erase the
     * input before it was read.
     */
    private static void requireNotAnInput(List<Path> inputs, Path out) throws IOException {
        for (Path input : inputs) {
            if (Files.exists(out) && Files.exists(input) && Files.isSameFile(input, out)) {
                throw new IOException(out + " is also an input file; expected another output file");
            }
        }
    }

    @Command(
            name = "cut",
            description = "Cuts a window of time out of a file: the scans taken in it, each whole.",
            mixinStandardHelpOptions = true)
    static final class Cut implements Callable<Integer> {
        @Parameters(paramLabel = "FILE", description = "a trace file")
        private Path file;

        @Option(
                names = "--from",
                paramLabel = "TIME",
                required = true,
                description = "ISO 8601 or Unix milliseconds")
        private String from;

        @Option(
                names = "--to",
                paramLabel = "TIME",
                required = true,
                description = "until before then")
        private String to;

        @Option(
                names = {"-o", "--out"},
                paramLabel = "OUT",
                required = true,
                description = "the file to write")
        private Path out;

        @Option(names = "--json", description = "one JSON object instead of a line")
        private boolean json;

        @Override
        public Integer call() throws IOException {
            var window = new TraceHeader.Window(Times.parse(from), Times.parse(to));
            if (!(window.fromMs() < window.toMs())) {
                throw new IOException("--from " + from + " isn't before --to " + to);
            }
            requireNotAnInput(List.of(file), out);
            var progress = new Console.Progress("calls");
            try (TraceReader reader = TraceView.open(file)) {
                long entries = TraceCut.cut(reader, window, out, progress::update);
                progress.finish();
                if (json) {
                    Console.json(TraceView.map("entries", entries, "out", out.toString()));
                } else {
                    System.out.println(entries + " calls and gaps, whole or in part, in " + out);
                }
            }
            return 0;
        }
    }

    @Command(
            name = "merge",
            description =
                    "Merges files of several gatherers, or pieces of one, into one, by "
                            + "corrected clocks.",
            mixinStandardHelpOptions = true)
    static final class Merge implements Callable<Integer> {
        @Parameters(paramLabel = "FILES", arity = "1..*", description = "trace files, in any order")
        private List<Path> files;

        @Option(
                names = {"-o", "--out"},
                paramLabel = "OUT",
                required = true,
                description = "the file to write")
        private Path out;

        @Option(names = "--json", description = "one JSON object instead of a table")
        private boolean json;

        @Override
        public Integer call() throws IOException {
            requireNotAnInput(files, out);
            var progress = new Console.Progress("calls");
            TraceMerge.Merged merged = TraceMerge.merge(files, out, progress::update);
            progress.finish();
            if (json) {
                Console.json(
                        TraceView.map(
                                "entries",
                                merged.entries(),
                                "out",
                                out.toString(),
                                "clocks",
                                merged.sources().stream()
                                        .map(
                                                source ->
                                                        TraceView.map(
                                                                "gatherer",
                                                                source.gatherer(),
                                                                "offset_ms",
                                                                source.clock().offsetMs(),
                                                                "drift_ppm",
                                                                source.clock().driftPpm(),
                                                                "error_ms",
                                                                TraceView.finite(
                                                                        source.clock().errorMs())))
                                        .toList()));
            } else {
                System.out.println(merged.entries() + " calls and gaps in " + out);
                merged.sources()
                        .forEach(
                                source ->
                                        System.out.println(
                                                "clock of "
                                                        + source.gatherer()
                                                        + ": "
                                                        + ClockEstimate.describe(source.clock())));
            }
            return 0;
        }
    }

    @Command(
            name = "anonymise",
            description =
                    "Writes a file anew without identities, volumes and rhythms of " + "customers.",
            mixinStandardHelpOptions = true)
    static final class Anonymise implements Callable<Integer> {
        @Parameters(paramLabel = "FILE", description = "a trace file")
        private Path file;

        @Option(
                names = "--key",
                paramLabel = "K",
                description =
                        "makes the pseudonyms; at least 16 letters. Better "
                                + "by --key-file: what stands on a command line, others can see")
        private String key;

        @Option(
                names = "--key-file",
                paramLabel = "FILE",
                description = "a file that holds the key")
        private Path keyFile;

        @Option(
                names = {"-o", "--out"},
                paramLabel = "OUT",
                required = true,
                description = "the file to write")
        private Path out;

        @Option(names = "--json", description = "one JSON object instead of a table")
        private boolean json;

        @Override
        public Integer call() throws IOException {
            if ((key == null) == (keyFile == null)) {
                throw new IOException("either --key or --key-file was expected");
            }
            requireNotAnInput(List.of(file), out);
            String secret = key != null ? key : Files.readString(keyFile).strip();
            var progress = new Console.Progress("calls");
            try (TraceReader reader = TraceView.open(file)) {
                Anonymiser.Written written =
                        Anonymiser.anonymise(reader, secret, out, progress::update);
                progress.finish();
                try (TraceReader anonymised = TraceReader.open(out)) {
                    if (json) {
                        Console.json(
                                TraceView.map(
                                        "scans",
                                        written.queries(),
                                        "left_out",
                                        written.leftOut(),
                                        "named",
                                        written.pseudonyms(),
                                        "pooled",
                                        written.pooled(),
                                        "lost",
                                        anonymised.header().lost()));
                        return 0;
                    }
                    System.out.printf(
                            Locale.ROOT,
                            "%d scans written, %d left out; %d customers keep a pseudonym, %d "
                                    + "scans are pooled%nlost for analysis:%n",
                            written.queries(),
                            written.leftOut(),
                            written.pseudonyms(),
                            written.pooled());
                    anonymised.header().lost().forEach(lost -> System.out.println("  " + lost));
                }
            }
            return 0;
        }
    }

    @Command(
            name = "export",
            description =
                    "Writes a file as text: each record as a JSON line, or each scan as a row "
                            + "of CSV.",
            mixinStandardHelpOptions = true)
    static final class Export implements Callable<Integer> {
        @Parameters(paramLabel = "FILE", description = "a trace file")
        private Path file;

        @ArgGroup(multiplicity = "1")
        private Format format;

        @Option(
                names = {"-o", "--out"},
                paramLabel = "OUT",
                description = "the file to write (default: standard output)")
        private Path out;

        /** The output format: exactly one of the two options. */
        static final class Format {
            @Option(names = "--csv", description = "a row a scan")
            private boolean csv;

            @Option(names = "--jsonl", description = "a JSON line an event, action or gap")
            private boolean jsonl;
        }

        @Override
        public Integer call() throws IOException {
            if (out != null) {
                requireNotAnInput(List.of(file), out);
            }
            try (TraceReader reader = TraceView.open(file);
                    Writer to =
                            out != null
                                    ? Files.newBufferedWriter(out)
                                    : new BufferedWriter(
                                            new OutputStreamWriter(
                                                    System.out, StandardCharsets.UTF_8))) {
                long lines =
                        format.csv
                                ? TraceExport.csv(reader, to)
                                : TraceExport.jsonLines(reader, to);
                to.flush();
                if (out != null) {
                    System.out.println(lines + (format.csv ? " scans in " : " records in ") + out);
                }
            }
            return 0;
        }
    }
}
