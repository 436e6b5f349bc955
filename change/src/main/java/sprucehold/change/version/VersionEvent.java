package sprucehold.change.version;

import java.util.List;
import sprucehold.change.document.ConfigurationDocument;
import sprucehold.change.document.RunningState;

/** Event that the version history processes. */
public sealed interface VersionEvent {
    /**
     * An operator proposes a document.
     *
     * @param proposalId the proposal's id; a proposal with the same id is a repetition of the same
     *     proposal
     * @param author the operator who proposes it
     * @param basedOn number of the version that it was made from
     * @param document the proposed document
     * @param running the running state of the gatherer
     */
    record Proposed(
            String proposalId,
            String author,
            long basedOn,
            ConfigurationDocument document,
            RunningState running)
            implements VersionEvent {}

    /** The decision policy is between two decisions, so a staged version may be applied. */
    record BetweenDecisions() implements VersionEvent {}

    /**
     * The health watch has decided.
     *
     * @param version the version that it watched
     * @param degraded whether service degraded; false if it did not degrade throughout the watch
     * @param evidence evidence for the decision, one sentence
     */
    record WatchDecided(long version, boolean degraded, String evidence) implements VersionEvent {}

    /**
     * An operator confirms the watched version.
     *
     * @param version the version's number
     * @param author the operator who requests it
     */
    record ConfirmRequested(long version, String author) implements VersionEvent {}

    /**
     * An operator requests that the watched version is rolled back, or the staged version
     * withdrawn.
     *
     * @param version the version's number
     * @param author the operator who requests it
     */
    record RollbackRequested(long version, String author) implements VersionEvent {}

    /** The process shuts down cleanly. */
    record ShuttingDown() implements VersionEvent {}

    /**
     * The process has started.
     *
     * @param journal the journal's entries, in order
     */
    record Started(List<JournalEntry> journal) implements VersionEvent {}
}
