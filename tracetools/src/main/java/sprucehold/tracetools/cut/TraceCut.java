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

/** Writes the part of a file that belongs to a window. */
public final class TraceCut {
    private TraceCut() {}

    /**
     * @param window by the clock of the file's order
     * @return how many entries, whole or in part, were written
     */
    public static long cut(
            TraceReader reader, TraceHeader.Window window, Path to, LongConsumer progress)
            throws IOException {
        TraceHeader.Window before = reader.header().window();
        TraceHeader.Window both =
                before == null
                        ? window
                        : new TraceHeader.Window(
                                Math.max(before.fromMs(), window.fromMs()),
                                Math.min(before.toMs(), window.toMs()));
        var whole = new QueryWindow(reader.header().sources(), both);
        // Queries of the window begin in blocks that reach into it, by whichever clock is furthest
        // off.
        double off = 0;
        for (Source source : reader.header().sources()) {
            ClockFit clock = source.clock();
            off = Math.max(off, Math.abs(clock.corrected(window.fromMs()) - window.fromMs()));
        }
        long read = 0;
        try (var writer =
                new TraceWriter(TraceRepair.create(to), reader.header().withWindow(both))) {
            TraceCursor cursor =
                    reader.between(window.fromMs() - 2 * off - 1, Double.POSITIVE_INFINITY);
            for (Entry entry = cursor.next(); entry != null; entry = cursor.next()) {
                Entry kept = whole.of(entry);
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
