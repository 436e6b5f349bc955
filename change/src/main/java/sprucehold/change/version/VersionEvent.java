package sprucehold.change.version;

import java.util.List;
import sprucehold.change.document.ConfigurationDocument;
import sprucehold.change.document.RunningState;

/** Something that the version history reacts to. */
public sealed interface VersionEvent {
    /**
     * An operator proposes a document.
     *
     * @param proposalId the proposal's id; the same id again is the same proposal
     * @param author who proposes it
     * @param basedOn the number of the version that it was made from
     * @param document the proposed document
     * @param running what runs now
     */
    record Proposed(
            String proposalId,
            String author,
            long basedOn,
            ConfigurationDocument document,
            RunningState running)
            implements VersionEvent {}

    /** The policy is between two decisions: a staged version may be applied. */
    record BetweenDecisions() implements VersionEvent {}

    /**
     * The health watch has decided.
     *
     * @param version the version that it watched
     * @param degraded whether service degraded; otherwise it held throughout the watch
     * @param evidence what the decision rests on, one sentence
     */
    record WatchDecided(long version, boolean degraded, String evidence) implements VersionEvent {}

    /**
     * An operator confirms the watched version.
     *
     * @param version its number
     * @param author who asks
     */
    record ConfirmRequested(long version, String author) implements VersionEvent {}

    /**
     * An operator wants the watched version rolled back, or the staged one withdrawn.
     *
     * @param version its number
     * @param author who asks
     */
    record RollbackRequested(long version, String author) implements VersionEvent {}

    /** The process ends in order. */
    record ShuttingDown() implements VersionEvent {}

    /**
     * The process has started.
     *
     * @param journal the journal's entries, in order
     */
    record Started(List<JournalEntry> journal) implements VersionEvent {}
}
