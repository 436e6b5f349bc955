package sprucehold.trace.event;

/**
 * One entry of a trace. Entries of one source are ordered by {@link #seq}, whatever its clock says;
 * the order of entries of several sources is a matter of how their clocks are judged.
 */
public sealed interface Entry permits PolicyCall, Gap {
    /** The index of its source in the file's head. */
    int source();

    /**
     * The number, from 0, of the call of the policy since the source started; of a gap, that of the
     * first call lost.
     */
    long seq();

    /** The source's own clock, Unix time in milliseconds as a rule. It may go back. */
    double nowMs();

    /** The same entry with another index of its source. */
    Entry withSource(int other);
}
