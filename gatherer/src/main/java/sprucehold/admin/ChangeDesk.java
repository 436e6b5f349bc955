package sprucehold.admin;

import java.util.List;
import sprucehold.change.document.Document;
import sprucehold.change.line.LineAction;
import sprucehold.change.line.VersionLine;

/** Where changes are taken; all calls come on the event loop. */
public interface ChangeDesk {
    VersionLine line();

    /** Takes a proposal; what is returned holds the answer to it. */
    List<LineAction> propose(String id, String by, long madeFrom, Document document);

    /** Takes the watched version for good; nothing where it isn't that. */
    void confirm(long version, String by);

    /** Takes a version back; nothing where it is neither watched nor staged. */
    void undo(long version, String by);
}
