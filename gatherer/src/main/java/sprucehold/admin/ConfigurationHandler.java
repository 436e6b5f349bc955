package sprucehold.admin;

import java.util.List;
import sprucehold.change.document.ConfigurationDocument;
import sprucehold.change.version.VersionCommand;
import sprucehold.change.version.VersionHistory;

/** Where changes are taken; all calls come on the event loop. */
public interface ConfigurationHandler {
    VersionHistory history();

    /** Takes a proposal; what is returned holds the answer to it. */
    List<VersionCommand> propose(
            String id, String by, long madeFrom, ConfigurationDocument document);

    /** Takes the watched version for good; nothing where it isn't that. */
    void confirm(long version, String by);

    /** Takes a version back; nothing where it is neither watched nor staged. */
    void rollBack(long version, String by);
}
