package sprucehold.decision;

/**
 * Shard server as described in the endpoint list.
 *
 * @param server name of the shard server
 * @param replicaGroup replica group of the shard server, which determines its shards; see {@link
 *     Deployment.ShardLayout}
 * @param zone zone in which the shard server runs
 * @param startedAtMs time of the last start of the shard server, in milliseconds on the policy's
 *     clock; 0 if it started long ago
 * @param state whether parts may be sent to the shard server
 */
public record Endpoint(
        String server, int replicaGroup, String zone, double startedAtMs, State state) {

    /** Whether parts may be sent to a shard server. */
    public enum State implements StoredEnum {
        /** The shard server accepts parts. */
        RUNNING(0, "RUNNING"),
        /** The shard server completes its pending parts and must receive no new ones. */
        DRAINING(1, "DRAINING"),
        /** The shard server no longer exists. */
        GONE(2, "GONE");

        private final int storedNumber;
        private final String storedName;

        State(int storedNumber, String storedName) {
            this.storedNumber = storedNumber;
            this.storedName = storedName;
        }

        @Override
        public int storedNumber() {
            return storedNumber;
        }

        @Override
        public String storedName() {
            return storedName;
        }
    }
}
