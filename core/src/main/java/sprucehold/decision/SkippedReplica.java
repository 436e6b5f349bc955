package sprucehold.decision;

/**
 * Replica of a part's shard that was skipped when an attempt was sent.
 *
 * @param server name of the shard server
 * @param cause cause of the skip
 */
public record SkippedReplica(String server, Cause cause) {

    /** Cause for skipping a replica. */
    public enum Cause implements StoredEnum {
        /** The replica is draining or gone. */
        DRAINING(0, "DRAINING", "draining or gone"),
        /** An earlier attempt of this part was sent to the replica. */
        ALREADY_TRIED(1, "TRIED", "tried for this part before"),
        /** The replica is ejected after failures. */
        EJECTED(2, "SET_ASIDE", "ejected after failures"),
        /** The number of attempts pending at the replica has reached its concurrency limit. */
        AT_CONCURRENCY_LIMIT(3, "NO_ROOM", "at its concurrency limit"),
        /** The replica is warming up and its slow-start budget is spent. */
        AT_SLOW_START_BUDGET(4, "COLD_BUDGET", "warming up and at its slow-start budget"),
        /**
         * The replica failed recently, most attempts in its zone are late, or other gatherers
         * observed that it failed. Such a replica is used only if no other one is better.
         */
        SUSPECT(5, "SUSPECT", "suspect: it failed lately, or its zone is late");

        private final int storedNumber;
        private final String storedName;
        private final String description;

        Cause(int storedNumber, String storedName, String description) {
            this.storedNumber = storedNumber;
            this.storedName = storedName;
            this.description = description;
        }

        @Override
        public int storedNumber() {
            return storedNumber;
        }

        @Override
        public String storedName() {
            return storedName;
        }

        /** Returns a description of the cause for operators. */
        public String description() {
            return description;
        }
    }
}
