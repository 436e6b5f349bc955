package sprucehold.change.version;

import java.util.List;
import sprucehold.change.document.ConfigurationDocument;
import sprucehold.change.document.RunningState;

/** Something that happened to the line of versions. */
public sealed interface VersionEvent {
    /**
     * An operator proposes a document.
     *
     * @param id the proposal's own id: the same one again is the same proposal
     * @param madeFrom the version it was made from
     * @param running what runs now
     */
    record Proposed(
            String id,
            String by,
            long madeFrom,
            ConfigurationDocument document,
            RunningState running)
            implements VersionEvent {}

    /** The module is between two moments: what is staged may be applied. */
    record BetweenDecisions() implements VersionEvent {}

    /** The watch has found that service fell, or that it did not for as long as it looks. */
    record Judged(long version, boolean harm, String grounds) implements VersionEvent {}

    /** An operator takes the watched version for good. */
    record ConfirmRequested(long version, String by) implements VersionEvent {}

    /** An operator wants the live version taken back. */
    record RollbackRequested(long version, String by) implements VersionEvent {}

    /** The process ends in good order. */
    record ShuttingDown() implements VersionEvent {}

    /** The process has started, and this is what its journal holds, in order. */
    record Started(List<JournalEntry> journal) implements VersionEvent {}
}
