package sprucehold.trace.event;

import java.util.List;

/**
 * What a file says of itself.
 *
 * @param oneIn 1 where every query is kept; n where only one in n of those that ended well is
 * @param anonymised whether identities were taken out
 * @param window the window it was cut to, or null
 * @param lost what can't be told from it any more, a sentence each
 */
public record TraceHeader(
        List<Source> sources, int oneIn, boolean anonymised, Window window, List<String> lost) {
    /**
     * Queries taken from {@code fromMs} until before {@code toMs}, by the clock of the file's
     * order.
     */
    public record Window(double fromMs, double toMs) {
        /** Whether a time lies in the window. */
        public boolean holds(double ms) {
            return ms >= fromMs && ms < toMs;
        }
    }

    /** Copies the lists; files of earlier versions may lack some. */
    public TraceHeader {
        sources = List.copyOf(sources);
        lost = lost == null ? List.of() : List.copyOf(lost);
        oneIn = Math.max(1, oneIn);
    }

    /** The head of a recording of everything. */
    public static TraceHeader of(Source source) {
        return new TraceHeader(List.of(source), 1, false, null, List.of());
    }

    /** The same with another sampling rate. */
    public TraceHeader withOneIn(int n) {
        return new TraceHeader(sources, n, anonymised, window, lost);
    }

    /** The same with other sources. */
    public TraceHeader withSources(List<Source> replacement) {
        return new TraceHeader(replacement, oneIn, anonymised, window, lost);
    }

    /** The same with another window. */
    public TraceHeader withWindow(Window other) {
        return new TraceHeader(sources, oneIn, anonymised, other, lost);
    }
}
