package sprucehold.coordinator;

/**
 * State of one shard server as reported by discovery.
 *
 * @param name name of the shard server, unique in the endpoint list
 * @param address host and port at which this gatherer reaches the shard server
 * @param replicaGroup replica group of the shard server, from 0
 * @param zone zone in which the shard server runs
 * @param startedAtMs time of the last start of the shard server, in milliseconds on the clock whose
 *     readings are passed to the {@link QueryCoordinator}, which is Unix time in a gatherer; 0 if
 *     the server started long ago
 * @param state whether parts may be sent to the shard server
 */
public record EndpointUpdate(
        String name,
        String address,
        int replicaGroup,
        String zone,
        double startedAtMs,
        State state) {

    /** Whether parts may be sent to a shard server. */
    public enum State {
        /** The shard server accepts parts. */
        RUNNING,
        /** No new parts may be sent to the shard server. */
        DRAINING,
        /** The shard server no longer exists. */
        GONE
    }
}
