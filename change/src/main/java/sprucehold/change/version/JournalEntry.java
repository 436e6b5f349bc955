package sprucehold.change.version;

/**
 * A transition of the version history; the entry is written to the journal before the transition
 * takes effect.
 */
public sealed interface JournalEntry {
    /**
     * A version was accepted; it is not live yet.
     *
     * @param version the version
     * @param proposalId the id of its proposal
     */
    record Accepted(Version version, String proposalId) implements JournalEntry {}

    /**
     * A version goes live.
     *
     * @param number the version's number
     */
    record Live(long number) implements JournalEntry {}

    /**
     * A version is confirmed.
     *
     * @param number the version's number
     */
    record Confirmed(long number) implements JournalEntry {}

    /**
     * A version is withdrawn, rolled back or quarantined.
     *
     * @param number the version's number
     * @param reason reason for the transition
     */
    record Dropped(long number, String reason) implements JournalEntry {}

    /** The process shuts down cleanly, so the live version did not crash it. */
    record ShutDown() implements JournalEntry {}

    /**
     * The process restarts after a crash under a version that was not confirmed.
     *
     * @param number the version's number
     */
    record Retried(long number) implements JournalEntry {}
}
