package sprucehold.picker;

/**
 * What the list tells of one shard server.
 *
 * @param address host and port as seen from here
 * @param startedAtMs Unix time at which it last started, 0 if long ago
 */
public record ServerNews(
        String name, String address, int cell, String zone, double startedAtMs, State state) {

    /** Whether it may be sent to. */
    public enum State {
        RUNNING,
        DRAINING,
        GONE
    }
}
