package sprucehold.trace.event;

/**
 * One entry of a trace. Entries of one source are ordered by {@link #seq}, regardless of the times
 * of its clock. The order of entries of several sources depends on the {@link ClockFit} of each
 * source.
 */
public sealed interface Entry permits PolicyCall, Gap {
    /** Returns the index of the entry's source in the file's header. */
    int source();

    /**
     * Returns the number of the policy call since the source started, counted from 0. For a gap,
     * returns the number of the first lost call.
     */
    long seq();

    /**
     * Returns the time by the source's own clock, normally Unix time in milliseconds. The times of
     * successive entries may decrease.
     */
    double nowMs();

    /** Returns a copy of the entry with another source index. */
    Entry withSource(int newSource);
}
