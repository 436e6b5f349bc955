package sprucehold.change.version;

import java.util.ArrayList;
import java.util.List;
import sprucehold.change.document.DocumentDifference;
import sprucehold.change.document.SemanticValidator;
import sprucehold.change.document.ValidationError;

/**
 * Checks proposals and describes why they are rejected. Errors that concern no particular value
 * have an empty path.
 */
final class ProposalReview {
    private ProposalReview() {}

    /**
     * Rejects a proposal that was made from a version which is no longer the newest.
     *
     * @param basis the version that the proposal was made from, or null if it is unknown
     */
    static VersionCommand.Rejected outdated(
            VersionEvent.Proposed proposed, Version newest, Version basis) {
        var error =
                new ValidationError(
                        "",
                        "it was made from version "
                                + proposed.basedOn()
                                + ", and the newest is "
                                + newest.number(),
                        "make it anew from version " + newest.number());
        DocumentDifference changesSince =
                basis == null
                        ? null
                        : DocumentDifference.between(basis.document(), newest.document());
        return new VersionCommand.Rejected(proposed.proposalId(), List.of(error), changesSince);
    }

    /**
     * Rejects a proposal while another version is pending. If two changes were made at the same
     * time, the health watch couldn't determine which of them degraded service.
     */
    static VersionCommand.Rejected busy(
            VersionEvent.Proposed proposed, Version pending, boolean watched) {
        var error =
                new ValidationError(
                        "",
                        "version "
                                + pending.number()
                                + (watched ? " is still watched" : " isn't live yet"),
                        "wait for its end, confirm it or undo it");
        return new VersionCommand.Rejected(proposed.proposalId(), List.of(error), null);
    }

    /** Returns all errors of a document that is proposed to replace the live document. */
    static List<ValidationError> validate(
            VersionEvent.Proposed proposed, Version live, List<VersionStatus> statuses) {
        List<ValidationError> errors =
                new ArrayList<>(
                        SemanticValidator.validateAgainst(
                                proposed.document(), live.document(), proposed.running()));
        for (VersionStatus status : statuses) {
            if (status.state() == VersionStatus.State.QUARANTINED
                    && status.version().document().equals(proposed.document())) {
                errors.add(
                        new ValidationError(
                                "",
                                "it is the same as version "
                                        + status.version().number()
                                        + ", which was set aside: "
                                        + status.reason(),
                                "change what killed the process"));
            }
        }
        return List.copyOf(errors);
    }
}
