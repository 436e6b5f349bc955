package sprucehold.change.version;

/**
 * Status of a version.
 *
 * @param version the version
 * @param state its current state
 * @param reason reason for the state; empty if there is none
 */
public record VersionStatus(Version version, State state, String reason) {
    /** State of a version; {@link VersionHistory} documents the transitions. */
    public enum State {
        /** Accepted; goes live between two decisions of the policy. */
        STAGED("staged"),
        /** Live and not yet confirmed; the health watch compares service with the baseline. */
        WATCHED("watched"),
        /** Confirmed last; a rollback restores its document. */
        CONFIRMED("confirmed"),
        /** Confirmed before, and replaced by a later confirmed version. */
        SUPERSEDED("replaced"),
        /**
         * Withdrawn before it went live, or live and then replaced by the document confirmed
         * before.
         */
        ROLLED_BACK("undone"),
        /**
         * The process crashed repeatedly while the version was live; its document is not accepted
         * again.
         */
        QUARANTINED("set_aside");

        private final String storedName;

        State(String storedName) {
            this.storedName = storedName;
        }

        /** Returns the name in answers of the admin server. */
        public String storedName() {
            return storedName;
        }
    }
}
