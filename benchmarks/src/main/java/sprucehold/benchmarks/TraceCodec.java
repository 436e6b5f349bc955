package sprucehold.benchmarks;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Level;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OperationsPerInvocation;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.TearDown;
import org.openjdk.jmh.annotations.Warmup;
import sprucehold.policy.QueryScheduler;
import sprucehold.trace.event.Entry;
import sprucehold.trace.event.PolicyCall;
import sprucehold.trace.event.Source;
import sprucehold.trace.event.TraceHeader;
import sprucehold.trace.format.TraceCursor;
import sprucehold.trace.format.TraceReader;
import sprucehold.trace.format.TraceRepair;
import sprucehold.trace.format.TraceWriter;
import sprucehold.tracetools.synthetic.DayPlan;
import sprucehold.tracetools.synthetic.SyntheticDay;

/** Measures the time to write and to read a trace file, in nanoseconds per record. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Warmup(iterations = 3, time = 2)
@Measurement(iterations = 5, time = 2)
@Fork(1)
public class TraceCodec {
    private static final int RECORDS = 100_000;
    private final List<Entry> entries = new ArrayList<>();
    private Source source;
    private Path file;

    @Setup(Level.Trial)
    public void recordSyntheticDay() throws IOException {
        var day = new SyntheticDay(new DayPlan(8000, 1, 1, 0, 0, 6, 40, 20), QueryScheduler::new);
        source = day.sources().get(0);
        int[] records = {0};
        day.run(
                List.of(
                        entry -> {
                            if (records[0] < RECORDS) {
                                entries.add(entry);
                                records[0] += ((PolicyCall) entry).items().size();
                            }
                        }),
                count -> {});
        file = Files.createTempFile("codec", ".trace");
        try (var writer = new TraceWriter(TraceRepair.createFile(file), TraceHeader.of(source))) {
            for (Entry entry : entries) {
                writer.add(entry);
            }
        }
    }

    @TearDown(Level.Trial)
    public void deleteFile() throws IOException {
        Files.delete(file);
    }

    @Benchmark
    @OperationsPerInvocation(RECORDS)
    public long encode() throws IOException {
        try (var writer =
                new TraceWriter(OutputStream.nullOutputStream(), TraceHeader.of(source))) {
            for (Entry entry : entries) {
                writer.add(entry);
            }
            writer.flush();
            return writer.position();
        }
    }

    @Benchmark
    @OperationsPerInvocation(RECORDS)
    public long decode() throws IOException {
        try (TraceReader reader = TraceReader.open(file)) {
            long count = 0;
            TraceCursor cursor = reader.all();
            while (cursor.next() != null) {
                count++;
            }
            return count;
        }
    }
}
