package sprucehold.tracetools.merge;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.LongConsumer;
import sprucehold.trace.event.ClockFit;
import sprucehold.trace.event.Entry;
import sprucehold.trace.event.Source;
import sprucehold.trace.event.TraceHeader;
import sprucehold.trace.format.TraceReader;
import sprucehold.trace.format.TraceRepair;
import sprucehold.trace.format.TraceWriter;
import sprucehold.tracetools.clock.ClockEstimate;
import sprucehold.tracetools.clock.EndpointSightings;

/** Merges trace files. Reads the inputs twice: to fit the clocks, and to write the entries. */
public final class TraceMerge {
    private TraceMerge() {}

    /**
     * Result of a merge.
     *
     * @param sources all sources, with the fits of their clocks
     * @param entries number of entries written
     */
    public record Merged(List<Source> sources, long entries) {}

    /**
     * Writes all entries of the inputs, each once, ordered by the fitted clocks and within a source
     * by number. The order of the inputs doesn't matter, and an input without new entries doesn't
     * change the result.
     *
     * @param progress receives the number of entries read or written so far, from time to time
     * @throws IOException if an input is damaged, or if two inputs have different contents for the
     *     same policy call
     */
    public static Merged merge(List<Path> files, Path to, LongConsumer progress)
            throws IOException {
        var readers = new ArrayList<TraceReader>();
        try {
            for (Path file : files) {
                TraceReader reader = TraceReader.open(file);
                readers.add(reader);
                if (reader.damage() != null) {
                    throw new IOException(reader.damage() + "; 'trace repair' restores its index");
                }
            }
            return mergeOpen(readers, to, progress);
        } finally {
            for (TraceReader reader : readers) {
                reader.close();
            }
        }
    }

    private static Merged mergeOpen(List<TraceReader> readers, Path to, LongConsumer progress)
            throws IOException {
        var sources = new TreeMap<String, Source>();
        boolean anonymised = readers.get(0).header().anonymised();
        int oneIn = 1;
        var lost = new TreeSet<String>();
        for (TraceReader reader : readers) {
            if (reader.header().anonymised() != anonymised) {
                throw new IOException("anonymised files can't be merged with original files");
            }
            oneIn = Math.max(oneIn, reader.header().oneIn());
            lost.addAll(reader.header().lost());
            for (Source source : reader.header().sources()) {
                sources.merge(source.id(), source, (a, b) -> moreAccurate(a, b));
            }
        }
        List<String> ids = List.copyOf(sources.keySet());
        List<Source> fitted = fit(readers, ids, List.copyOf(sources.values()), progress);
        var header = new TraceHeader(fitted, oneIn, anonymised, union(readers), List.copyOf(lost));

        record Head(double key, int source, Entry entry) {}
        var queue =
                new PriorityQueue<Head>(
                        Comparator.comparingDouble(Head::key).thenComparingInt(Head::source));
        List<SourceStream> streams = streams(readers, ids);
        double[] keys = new double[ids.size()];
        for (int i = 0; i < keys.length; i++) {
            Entry entry = streams.get(i).next();
            keys[i] = Double.NEGATIVE_INFINITY;
            if (entry != null) {
                keys[i] = fitted.get(i).clock().corrected(entry.nowMs());
                queue.add(new Head(keys[i], i, entry));
            }
        }
        long written = 0;
        try (var writer = new TraceWriter(TraceRepair.createFile(to), header)) {
            while (!queue.isEmpty()) {
                Head first = queue.poll();
                writer.add(first.entry);
                Entry following = streams.get(first.source).next();
                if (following != null) {
                    // If the clock of a source stepped back, the later entries stay behind the
                    // earlier ones.
                    double time = fitted.get(first.source).clock().corrected(following.nowMs());
                    keys[first.source] = Math.max(keys[first.source], time);
                    queue.add(new Head(keys[first.source], first.source, following));
                }
                if (++written % 65_536 == 0) {
                    progress.accept(written);
                }
            }
        }
        return new Merged(fitted, written);
    }

    private static Source moreAccurate(Source a, Source b) {
        return a.clock().errorMs() <= b.clock().errorMs() ? a : b;
    }

    private static List<SourceStream> streams(List<TraceReader> readers, List<String> ids)
            throws IOException {
        var streams = new ArrayList<SourceStream>();
        for (int i = 0; i < ids.size(); i++) {
            var stream = new SourceStream(i);
            for (TraceReader reader : readers) {
                List<Source> readerSources = reader.header().sources();
                for (int j = 0; j < readerSources.size(); j++) {
                    if (readerSources.get(j).id().equals(ids.get(i))) {
                        stream.add(reader, j);
                    }
                }
            }
            streams.add(stream);
        }
        return streams;
    }

    private static List<Source> fit(
            List<TraceReader> readers,
            List<String> ids,
            List<Source> sources,
            LongConsumer progress)
            throws IOException {
        if (ids.size() == 1) {
            return List.of(sources.get(0).withClock(ClockFit.REFERENCE));
        }
        var sightings = new ArrayList<EndpointSightings>();
        long read = 0;
        for (SourceStream stream : streams(readers, ids)) {
            var changes = new EndpointSightings();
            for (Entry entry = stream.next(); entry != null; entry = stream.next()) {
                changes.add(entry);
                if (++read % 65_536 == 0) {
                    progress.accept(read);
                }
            }
            sightings.add(changes);
        }
        List<ClockFit> fits = ClockEstimate.fit(ids, sightings);
        var fitted = new ArrayList<Source>();
        for (int i = 0; i < ids.size(); i++) {
            // Keeps the fit of an earlier merge if no fit can be computed from these files.
            boolean unknown = Double.isInfinite(fits.get(i).errorMs());
            fitted.add(
                    unknown
                            ? sources.get(i)
                                    .withClock(
                                            sources.get(i).clock().equals(ClockFit.REFERENCE)
                                                    ? ClockFit.UNKNOWN
                                                    : sources.get(i).clock())
                            : sources.get(i).withClock(fits.get(i)));
        }
        return fitted;
    }

    /**
     * Returns the window that the windows of all files cover together, or null if a file wasn't cut
     * or if the windows leave out a time between them.
     */
    private static TraceHeader.Window union(List<TraceReader> readers) {
        List<TraceHeader.Window> windows = new ArrayList<>();
        for (TraceReader reader : readers) {
            if (reader.header().window() == null) {
                return null;
            }
            windows.add(reader.header().window());
        }
        windows.sort(Comparator.comparingDouble(TraceHeader.Window::fromMs));
        double end = windows.get(0).toMs();
        for (TraceHeader.Window window : windows) {
            if (window.fromMs() > end) {
                return null;
            }
            end = Math.max(end, window.toMs());
        }
        return new TraceHeader.Window(windows.get(0).fromMs(), end);
    }
}
