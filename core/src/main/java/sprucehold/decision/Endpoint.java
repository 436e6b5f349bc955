package sprucehold.decision;

/**
 * A shard server as the endpoint list tells of it.
 *
 * @param server its name
 * @param replicaGroup tells which shards it holds, see {@link Deployment.ShardLayout}
 * @param zone the zone in which it runs
 * @param startedAtMs when it last started, on the policy's clock in milliseconds; 0 if long ago
 * @param state whether it may be sent to
 */
public record Endpoint(
        String server, int replicaGroup, String zone, double startedAtMs, State state) {

    /** Whether it may be sent to. */
    public enum State implements StoredEnum {
        /** It takes queries. */
        RUNNING(0, "RUNNING"),
        /** It ends what it holds and must be sent nothing new. */
        DRAINING(1, "DRAINING"),
        /** It isn't there any more. */
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
