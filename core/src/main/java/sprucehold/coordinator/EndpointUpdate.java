package sprucehold.coordinator;

/**
 * What the list tells of one shard server.
 *
 * @param address host and port as seen from here
 * @param startedAtMs Unix time at which it last started, 0 if long ago
 */
public record EndpointUpdate(
        String name,
        String address,
        int replicaGroup,
        String zone,
        double startedAtMs,
        State state) {

    /** Whether it may be sent to. */
    public enum State {
        RUNNING,
        DRAINING,
        GONE
    }
}
