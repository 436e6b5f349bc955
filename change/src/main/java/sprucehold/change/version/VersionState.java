package sprucehold.change.version;

/**
 * State of {@link VersionHistory}, which documents the transitions. At any moment exactly one
 * complete version is live.
 */
sealed interface VersionState {
    /** Returns the version that a rollback restores. */
    Version confirmed();

    /** Returns the version whose document is applied. */
    Version live();

    /** The confirmed version is live and nothing is pending. */
    record Confirmed(Version confirmed) implements VersionState {
        @Override
        public Version live() {
            return confirmed;
        }
    }

    /**
     * The confirmed version is live; {@code staged} goes live between two decisions of the policy.
     */
    record Staged(Version confirmed, Version staged) implements VersionState {
        @Override
        public Version live() {
            return confirmed;
        }
    }

    /** {@code live} is live and watched; a rollback restores {@code confirmed}. */
    record Watched(Version confirmed, Version live) implements VersionState {}
}
