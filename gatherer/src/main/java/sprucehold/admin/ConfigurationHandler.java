package sprucehold.admin;

import java.util.List;
import sprucehold.change.document.ConfigurationDocument;
import sprucehold.change.version.VersionCommand;
import sprucehold.change.version.VersionHistory;

/** Carries out configuration changes by operators. All methods are called on the event loop. */
public interface ConfigurationHandler {
    /** Returns the versions and their states. */
    VersionHistory history();

    /**
     * Submits a proposal.
     *
     * @param id id of the proposal
     * @param author operator who proposes the document
     * @param basedOn number of the version from which the document was made
     * @param document proposed document
     * @return commands that result from the proposal, including the answer to it
     */
    List<VersionCommand> propose(
            String id, String author, long basedOn, ConfigurationDocument document);

    /** Confirms the version if it is the watched one; otherwise does nothing. */
    void confirm(long version, String author);

    /**
     * Rolls back the version if it is the watched one, or withdraws it if it is the staged one;
     * otherwise does nothing.
     */
    void rollBack(long version, String author);
}
