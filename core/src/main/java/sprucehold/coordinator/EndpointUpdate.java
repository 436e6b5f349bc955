package sprucehold.coordinator;

/**
 * What discovery tells of one shard server.
 *
 * @param name its name, unique in the endpoint list
 * @param address host and port as seen from this gatherer
 * @param replicaGroup the replica group that it belongs to, from 0
 * @param zone the zone that it runs in
 * @param startedAtMs Unix time in milliseconds at which it last started, 0 if long ago
 * @param state whether it may be sent to
 */
public record EndpointUpdate(
        String name,
        String address,
        int replicaGroup,
        String zone,
        double startedAtMs,
        State state) {

    /** Whether a shard server may be sent to. */
    public enum State {
        /** It takes parts. */
        RUNNING,
        /** It must be sent nothing new. */
        DRAINING,
        /** It is not there any more. */
        GONE
    }
}
