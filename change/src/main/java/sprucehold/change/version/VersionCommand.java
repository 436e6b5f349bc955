package sprucehold.change.version;

import java.util.List;
import sprucehold.change.document.DocumentDifference;
import sprucehold.change.document.ValidationError;

/** Command that the version history issues. Commands are carried out in order. */
public sealed interface VersionCommand {
    /**
     * Write an entry to the journal. The entry must be on the disk before the next command is
     * carried out.
     *
     * @param entry the entry
     */
    record WriteJournal(JournalEntry entry) implements VersionCommand {}

    /**
     * Answer a proposal that was accepted.
     *
     * @param proposalId the proposal's id
     * @param version the version that it became
     * @param difference changes from the live version
     */
    record Accepted(String proposalId, Version version, DocumentDifference difference)
            implements VersionCommand {}

    /**
     * Answer a proposal that was accepted before, or whose document is already live.
     *
     * @param proposalId the proposal's id
     * @param number number of the version that the proposal became, or of the live version
     */
    record AlreadyKnown(String proposalId, long number) implements VersionCommand {}

    /**
     * Answer a proposal that was not accepted.
     *
     * @param proposalId the proposal's id
     * @param errors errors of the proposal
     * @param changesSince changes since the version that the proposal was made from; null if the
     *     proposal isn't outdated or that version is unknown
     */
    record Rejected(
            String proposalId, List<ValidationError> errors, DocumentDifference changesSince)
            implements VersionCommand {}

    /**
     * Apply a version's document in one step.
     *
     * @param version the version
     */
    record Apply(Version version) implements VersionCommand {}

    /**
     * Start the health watch, which compares service with the baseline.
     *
     * @param number number of the version that went live
     */
    record StartWatch(long number) implements VersionCommand {}

    /**
     * Stop the health watch.
     *
     * @param number number of the version that was watched
     */
    record StopWatch(long number) implements VersionCommand {}

    /**
     * Log a line for operators.
     *
     * @param message the line
     */
    record Log(String message) implements VersionCommand {}
}
