package sprucehold.change.version;

/** One step of the line, as it is written down before it is taken. */
public sealed interface JournalEntry {
    /** A version was accepted; it isn't live yet. */
    record Accepted(Version version, String id) implements JournalEntry {}

    /** The version goes live. */
    record Live(long number) implements JournalEntry {}

    /** The version is confirmed. */
    record Confirmed(long number) implements JournalEntry {}

    /** The version was dropped, and why. */
    record Dropped(long number, String why) implements JournalEntry {}

    /** The process ended in good order, so the version that was live did not kill it. */
    record Ended() implements JournalEntry {}

    /** The process started again under a version that was not confirmed. */
    record Retried(long number) implements JournalEntry {}
}
