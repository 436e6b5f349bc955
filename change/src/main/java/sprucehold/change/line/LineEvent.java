package sprucehold.change.line;

import java.util.List;
import sprucehold.change.document.Document;
import sprucehold.change.document.Running;

/** Something that happened to the line of versions. */
public sealed interface LineEvent {
    /**
     * An operator proposes a document.
     *
     * @param id the proposal's own id: the same one again is the same proposal
     * @param madeFrom the version it was made from
     * @param running what runs now
     */
    record Proposed(String id, String by, long madeFrom, Document document, Running running)
            implements LineEvent {}

    /** The module is between two moments: what is staged may be applied. */
    record BetweenMoments() implements LineEvent {}

    /** The watch has found that service fell, or that it did not for as long as it looks. */
    record Judged(long version, boolean harm, String grounds) implements LineEvent {}

    /** An operator takes the watched version for good. */
    record ConfirmAsked(long version, String by) implements LineEvent {}

    /** An operator wants the live version taken back. */
    record UndoAsked(long version, String by) implements LineEvent {}

    /** The process ends in good order. */
    record Ending() implements LineEvent {}

    /** The process has started, and this is what its journal holds, in order. */
    record Started(List<JournalEntry> journal) implements LineEvent {}
}
