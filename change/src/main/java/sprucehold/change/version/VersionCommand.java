package sprucehold.change.version;

import java.util.List;
import sprucehold.change.document.DocumentDifference;
import sprucehold.change.document.ValidationError;

/** Something the line of versions wants done. Actions are carried out in order. */
public sealed interface VersionCommand {
    /** Written down, and on the disk, before what follows is done. */
    record Write(JournalEntry entry) implements VersionCommand {}

    /** The answer to a proposal that was taken. */
    record Accepted(String id, Version version, DocumentDifference difference)
            implements VersionCommand {}

    /** The answer to a proposal that was the same as one before. */
    record AlreadyKnown(String id, long number) implements VersionCommand {}

    /**
     * The answer to a proposal that was not taken.
     *
     * @param faults what is wrong with it
     * @param meanwhile what changed since the version it was made from; null where nothing did
     */
    record Rejected(String id, List<ValidationError> faults, DocumentDifference meanwhile)
            implements VersionCommand {}

    /** The version's document is in force from now on, in one step. */
    record Apply(Version version) implements VersionCommand {}

    /** Service is to be watched against what it was before. */
    record Watch(long number) implements VersionCommand {}

    /** The watch ends. */
    record StopWatch(long number) implements VersionCommand {}

    /** A line for the operators' log. */
    record Log(String line) implements VersionCommand {}
}
