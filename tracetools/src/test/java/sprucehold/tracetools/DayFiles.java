package sprucehold.tracetools;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import sprucehold.decision.DecisionPolicy;
import sprucehold.policy.QueryScheduler;
import sprucehold.trace.event.Entry;
import sprucehold.trace.event.TraceHeader;
import sprucehold.trace.format.TraceCursor;
import sprucehold.trace.format.TraceReader;
import sprucehold.trace.format.TraceRepair;
import sprucehold.trace.format.TraceWriter;
import sprucehold.tracetools.synthetic.DayPlan;
import sprucehold.tracetools.synthetic.SyntheticDay;

/** Simulates synthetic days and reads and writes trace files. */
final class DayFiles {
    private DayFiles() {}

    static Path createFolder() throws IOException {
        return Files.createTempDirectory("day");
    }

    static Path file(Path folder, String name) {
        return folder.resolve(name);
    }

    /** Simulates a day and writes a trace file for each gatherer. */
    static List<Path> simulate(Path folder, DayPlan plan, DecisionPolicy.Factory factory)
            throws IOException {
        var day = new SyntheticDay(plan, factory);
        var files = new ArrayList<Path>();
        var writers = new ArrayList<TraceWriter>();
        for (var source : day.sources()) {
            Path file = folder.resolve(source.gatherer() + ".trace");
            files.add(file);
            writers.add(new TraceWriter(TraceRepair.createFile(file), TraceHeader.of(source)));
        }
        day.run(
                writers.stream().map(writer -> (SyntheticDay.Sink) writer::add).toList(),
                count -> {});
        for (TraceWriter writer : writers) {
            writer.close();
        }
        return files;
    }

    static List<Path> simulate(Path folder, DayPlan plan) throws IOException {
        return simulate(folder, plan, QueryScheduler::new);
    }

    /** Returns the plan of two hours with three gatherers whose clocks differ by seconds. */
    static DayPlan standardPlan(int queries, long seed) {
        return new DayPlan(queries, seed, 3, 4, 50, 2, 30, 40);
    }

    static List<Entry> read(Path file) throws IOException {
        try (TraceReader reader = TraceReader.open(file)) {
            return readAll(reader.all());
        }
    }

    static List<Entry> readAll(TraceCursor cursor) throws IOException {
        var entries = new ArrayList<Entry>();
        for (Entry entry = cursor.next(); entry != null; entry = cursor.next()) {
            entries.add(entry);
        }
        return entries;
    }

    static Path write(Path file, TraceHeader header, List<Entry> entries) throws IOException {
        try (var writer = new TraceWriter(TraceRepair.createFile(file), header)) {
            for (Entry entry : entries) {
                writer.add(entry);
            }
        }
        return file;
    }
}
