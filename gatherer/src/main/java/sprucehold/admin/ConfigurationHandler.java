package sprucehold.admin;

import java.util.List;
import sprucehold.change.document.ConfigurationDocument;
import sprucehold.change.version.VersionCommand;
import sprucehold.change.version.VersionHistory;

/** Takes operators' changes; all calls come on the event loop. */
public interface ConfigurationHandler {
    /** The versions and their states. */
    VersionHistory history();

    /**
     * Takes a proposal.
     *
     * @param id the proposal's id
     * @param author who proposes it
     * @param basedOn the number of the version that it was made from
     * @param document the proposed document
     * @return the commands that it led to, the answer to the proposal among them
     */
    List<VersionCommand> propose(
            String id, String author, long basedOn, ConfigurationDocument document);

    /** Confirms the watched version; does nothing if that isn't the version named. */
    void confirm(long version, String author);

    /**
     * Rolls back the watched version or withdraws the staged one; does nothing if the version named
     * is neither.
     */
    void rollBack(long version, String author);
}
