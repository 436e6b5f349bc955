package sprucehold.change.version;

/**
 * What became of a version.
 *
 * @param how its state now
 * @param why in words; empty while nothing is to be said
 */
public record VersionStatus(Version version, State how, String why) {
    /** Where a version stands. */
    public enum State {
        STAGED,
        WATCHED,
        CONFIRMED,
        REPLACED,
        UNDONE,
        SET_ASIDE
    }
}
