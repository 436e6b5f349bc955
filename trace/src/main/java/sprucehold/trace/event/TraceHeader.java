package sprucehold.trace.event;

import java.util.List;

/**
 * The header of a trace file.
 *
 * @param oneIn 1 if every query is kept; n if only one in n of the queries that were answered
 *     completely within their latency objective is kept
 * @param anonymised whether identities were removed
 * @param window the time window that the file was cut to, or null
 * @param lost descriptions, one sentence each, of information that the file no longer contains
 */
public record TraceHeader(
        List<Source> sources, int oneIn, boolean anonymised, Window window, List<String> lost) {
    /**
     * A time window for queries received at or after {@code fromMs} and before {@code toMs}, by the
     * reference clock of the file.
     */
    public record Window(double fromMs, double toMs) {
        /** Returns whether a time lies in the window. */
        public boolean contains(double ms) {
            return ms >= fromMs && ms < toMs;
        }
    }

    /**
     * Copies the lists. Files of earlier versions may lack some fields: without {@code lost} the
     * list is empty, and without {@code oneIn} the rate is 1.
     */
    public TraceHeader {
        sources = List.copyOf(sources);
        lost = lost == null ? List.of() : List.copyOf(lost);
        oneIn = Math.max(1, oneIn);
    }

    /** Creates the header of a file that keeps every query of one source. */
    public static TraceHeader of(Source source) {
        return new TraceHeader(List.of(source), 1, false, null, List.of());
    }

    /** Returns a copy of the header with another sampling rate. */
    public TraceHeader withOneIn(int n) {
        return new TraceHeader(sources, n, anonymised, window, lost);
    }

    /** Returns a copy of the header with other sources. */
    public TraceHeader withSources(List<Source> newSources) {
        return new TraceHeader(newSources, oneIn, anonymised, window, lost);
    }

    /** Returns a copy of the header with another window. */
    public TraceHeader withWindow(Window newWindow) {
        return new TraceHeader(sources, oneIn, anonymised, newWindow, lost);
    }
}
