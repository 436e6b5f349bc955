package sprucehold.change.version;

import java.util.List;
import sprucehold.change.document.DocumentDifference;
import sprucehold.change.document.ValidationError;

/** What the version history wants done. Commands are carried out in order. */
public sealed interface VersionCommand {
    /**
     * Write an entry to the journal; it is on the disk before the next command is carried out.
     *
     * @param entry the entry
     */
    record WriteJournal(JournalEntry entry) implements VersionCommand {}

    /**
     * Answer a proposal that was accepted.
     *
     * @param proposalId the proposal's id
     * @param version the version that it became
     * @param difference what changes with it
     */
    record Accepted(String proposalId, Version version, DocumentDifference difference)
            implements VersionCommand {}

    /**
     * Answer a proposal that is known, or whose document is live.
     *
     * @param proposalId the proposal's id
     * @param number the version that it became, or that is live
     */
    record AlreadyKnown(String proposalId, long number) implements VersionCommand {}

    /**
     * Answer a proposal that was not accepted.
     *
     * @param proposalId the proposal's id
     * @param errors what is wrong with it
     * @param changesSince what changed since the version it was made from; null if nothing did
     */
    record Rejected(
            String proposalId, List<ValidationError> errors, DocumentDifference changesSince)
            implements VersionCommand {}

    /**
     * Put a version's document in force, in one step.
     *
     * @param version the version
     */
    record Apply(Version version) implements VersionCommand {}

    /**
     * Watch service and compare it with the service before.
     *
     * @param number the version that went live
     */
    record StartWatch(long number) implements VersionCommand {}

    /**
     * End the watch.
     *
     * @param number the version that was watched
     */
    record StopWatch(long number) implements VersionCommand {}

    /**
     * Log a line for operators.
     *
     * @param message the line
     */
    record Log(String message) implements VersionCommand {}
}
