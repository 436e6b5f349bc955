package sprucehold.change.version;

/**
 * The state of one version.
 *
 * @param version the version
 * @param state its state now
 * @param reason how it came to the state; empty if there is nothing to say
 */
public record VersionStatus(Version version, State state, String reason) {
    /** States of a version; {@link VersionHistory} has the table of transitions. */
    public enum State {
        /** Accepted; goes live between two decisions. */
        STAGED("staged"),
        /** Live, not confirmed; its service is compared with the service before. */
        WATCHED("watched"),
        /** Live and kept, until the next version is confirmed. */
        CONFIRMED("confirmed"),
        /** Was confirmed; a later version was confirmed in its place. */
        SUPERSEDED("replaced"),
        /** Withdrawn before it went live, or live and replaced by the document confirmed before. */
        ROLLED_BACK("undone"),
        /** The process died under it repeatedly; its document is not accepted again. */
        QUARANTINED("set_aside");

        private final String storedName;

        State(String storedName) {
            this.storedName = storedName;
        }

        /** The name that the admin server answers with. */
        public String storedName() {
            return storedName;
        }
    }
}
