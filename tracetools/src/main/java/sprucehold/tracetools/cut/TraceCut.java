package sprucehold.tracetools.cut;

import java.io.IOException;
import java.nio.file.Path;
import java.util.function.LongConsumer;
import sprucehold.trace.event.ClockFit;
import sprucehold.trace.event.Entry;
import sprucehold.trace.event.Source;
import sprucehold.trace.event.TraceHeader;
import sprucehold.trace.format.TraceCursor;
import sprucehold.trace.format.TraceReader;
import sprucehold.trace.format.TraceRepair;
import sprucehold.trace.format.TraceWriter;

/** Writes the part of a trace file that belongs to a time window. */
public final class TraceCut {
    private TraceCut() {}

    /**
     * Writes the entries of a time window to a new file.
     *
     * @param window window by the clock that orders the file
     * @return number of entries written, complete or in part
     */
    public static long cut(
            TraceReader reader, TraceHeader.Window window, Path to, LongConsumer progress)
            throws IOException {
        TraceHeader.Window before = reader.header().window();
        TraceHeader.Window intersection =
                before == null
                        ? window
                        : new TraceHeader.Window(
                                Math.max(before.fromMs(), window.fromMs()),
                                Math.min(before.toMs(), window.toMs()));
        var queryWindow = new QueryWindow(reader.header().sources(), intersection);
        // Reading starts before the window by twice the largest offset of any clock, so that it
        // includes the block in which each query of the window begins.
        double maxOffsetMs = 0;
        for (Source source : reader.header().sources()) {
            ClockFit clock = source.clock();
            maxOffsetMs =
                    Math.max(
                            maxOffsetMs,
                            Math.abs(clock.corrected(window.fromMs()) - window.fromMs()));
        }
        long read = 0;
        try (var writer =
                new TraceWriter(
                        TraceRepair.createFile(to), reader.header().withWindow(intersection))) {
            TraceCursor cursor =
                    reader.between(window.fromMs() - 2 * maxOffsetMs - 1, Double.POSITIVE_INFINITY);
            for (Entry entry = cursor.next(); entry != null; entry = cursor.next()) {
                Entry kept = queryWindow.select(entry);
                if (kept != null) {
                    writer.add(kept);
                }
                if (++read % 65_536 == 0) {
                    progress.accept(read);
                }
            }
            writer.flush();
            return writer.entries();
        }
    }
}
