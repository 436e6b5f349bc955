package sprucehold.change.version;

import java.util.ArrayList;
import java.util.List;
import sprucehold.change.document.DocumentDifference;
import sprucehold.change.document.SemanticValidator;
import sprucehold.change.document.ValidationError;

/** The reasons for which a proposal is rejected. Errors of no certain place have an empty path. */
final class ProposalReview {
    private ProposalReview() {}

    /**
     * A proposal that was made from a version which is no longer the newest.
     *
     * @param basis the version it was made from, or null if that is unknown
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
     * A proposal while another version is pending. With two changes at a time nobody could tell
     * which of them degraded service.
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

    /** All errors of a document that is proposed in the place of the live one. */
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
