package sprucehold.port;

/**
 * A shard server as the list tells of it.
 *
 * @param cell tells which segments it holds
 * @param startedAtMs when it last started, 0 if long ago
 */
public record Listing(String server, int cell, String zone, double startedAtMs, Mode mode) {

    /** Whether it may be sent to. */
    public enum Mode {
        RUNNING,
        DRAINING,
        GONE
    }
}
