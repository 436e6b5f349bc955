package sprucehold.change.version;

/** One transition of the version history, as it is written down before it takes effect. */
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
     * @param number its number
     */
    record Live(long number) implements JournalEntry {}

    /**
     * A version is confirmed.
     *
     * @param number its number
     */
    record Confirmed(long number) implements JournalEntry {}

    /**
     * A version is withdrawn, rolled back or quarantined.
     *
     * @param number its number
     * @param reason why
     */
    record Dropped(long number, String reason) implements JournalEntry {}

    /** The process ends in order, so the version that is live did not crash it. */
    record ShutDown() implements JournalEntry {}

    /**
     * The process restarts after a crash under a version that was not confirmed.
     *
     * @param number the version's number
     */
    record Retried(long number) implements JournalEntry {}
}
