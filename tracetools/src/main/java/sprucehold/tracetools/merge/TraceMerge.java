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

/** Merges files: twice through the inputs, once for the clocks and once for the entries. */
public final class TraceMerge {
    private TraceMerge() {}

    /**
     * @param sources all sources with the fits found for their clocks
     * @param entries how many were written
     */
    public record Merged(List<Source> sources, long entries) {}

    /**
     * Writes all entries of the inputs, each once, ordered by the fitted clocks and within a source
     * by number. The order of the inputs doesn't matter, and an input that holds nothing new
     * changes nothing.
     *
     * @param progress is told how many entries were read, now and then
     * @throws IOException where an input is damaged, or two inputs tell different things of the
     *     same moment
     */
    public static Merged merge(List<Path> files, Path to, LongConsumer progress)
            throws IOException {
        var readers = new ArrayList<TraceReader>();
        try {
            for (Path file : files) {
                TraceReader reader = TraceReader.open(file);
                readers.add(reader);
                if (reader.damage() != null) {
                    throw new IOException(
                            reader.damage() + "; 'trace repair' gives it its index back");
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
                throw new IOException("files with and without identities can't be merged");
            }
            oneIn = Math.max(oneIn, reader.header().oneIn());
            lost.addAll(reader.header().lost());
            for (Source source : reader.header().sources()) {
                sources.merge(source.id(), source, (a, b) -> betterKnown(a, b));
            }
        }
        List<String> ids = List.copyOf(sources.keySet());
        List<Source> fitted = fit(readers, ids, List.copyOf(sources.values()), progress);
        var header = new TraceHeader(fitted, oneIn, anonymised, hull(readers), List.copyOf(lost));

        record Next(double key, int source, Entry entry) {}
        var next =
                new PriorityQueue<Next>(
                        Comparator.comparingDouble(Next::key).thenComparingInt(Next::source));
        List<SourceStream> streams = streams(readers, ids);
        double[] keys = new double[ids.size()];
        for (int i = 0; i < keys.length; i++) {
            Entry entry = streams.get(i).next();
            keys[i] = Double.NEGATIVE_INFINITY;
            if (entry != null) {
                keys[i] = fitted.get(i).clock().corrected(entry.nowMs());
                next.add(new Next(keys[i], i, entry));
            }
        }
        long written = 0;
        try (var writer = new TraceWriter(TraceRepair.create(to), header)) {
            while (!next.isEmpty()) {
                Next least = next.poll();
                writer.add(least.entry);
                Entry following = streams.get(least.source).next();
                if (following != null) {
                    // A clock that went back holds its own entries where they are, behind those
                    // before them.
                    double time = fitted.get(least.source).clock().corrected(following.nowMs());
                    keys[least.source] = Math.max(keys[least.source], time);
                    next.add(new Next(keys[least.source], least.source, following));
                }
                if (++written % 65_536 == 0) {
                    progress.accept(written);
                }
            }
        }
        return new Merged(fitted, written);
    }

    private static Source betterKnown(Source a, Source b) {
        return a.clock().errorMs() <= b.clock().errorMs() ? a : b;
    }

    private static List<SourceStream> streams(List<TraceReader> readers, List<String> ids)
            throws IOException {
        var streams = new ArrayList<SourceStream>();
        for (int i = 0; i < ids.size(); i++) {
            var stream = new SourceStream(i);
            for (TraceReader reader : readers) {
                List<Source> there = reader.header().sources();
                for (int j = 0; j < there.size(); j++) {
                    if (there.get(j).id().equals(ids.get(i))) {
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
            var of = new EndpointSightings();
            for (Entry entry = stream.next(); entry != null; entry = stream.next()) {
                of.add(entry);
                if (++read % 65_536 == 0) {
                    progress.accept(read);
                }
            }
            sightings.add(of);
        }
        List<ClockFit> fits = ClockEstimate.fit(ids, sightings);
        var fitted = new ArrayList<Source>();
        for (int i = 0; i < ids.size(); i++) {
            // What an earlier merge knew, where these pieces tell nothing.
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
     * The window that cut pieces make up together, or null where one wasn't cut or there is a hole.
     */
    private static TraceHeader.Window hull(List<TraceReader> readers) {
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
