package sprucehold.change.version;

/**
 * A state of {@link VersionHistory}, which has the table of transitions. At any moment exactly one
 * whole version is live.
 */
sealed interface VersionState {
    /** The version that a rollback returns to. */
    Version confirmed();

    /** The version in force. */
    Version live();

    /** The confirmed version is live and nothing is pending. */
    record Confirmed(Version confirmed) implements VersionState {
        @Override
        public Version live() {
            return confirmed;
        }
    }

    /** The confirmed version is live; {@code staged} goes live between two decisions. */
    record Staged(Version confirmed, Version staged) implements VersionState {
        @Override
        public Version live() {
            return confirmed;
        }
    }

    /** {@code live} is in force and watched; {@code confirmed} is what a rollback returns to. */
    record Watched(Version confirmed, Version live) implements VersionState {}
}
