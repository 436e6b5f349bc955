package sprucehold.decision;

/**
 * A replica of a part's shard that an attempt did not go to.
 *
 * @param server its name
 * @param cause why it was skipped
 */
public record SkippedReplica(String server, Cause cause) {

    /** Why a replica was skipped. */
    public enum Cause implements StoredEnum {
        /** It is draining or gone. */
        DRAINING(0, "DRAINING", "draining or gone"),
        /** An attempt of this part went there before. */
        ALREADY_TRIED(1, "TRIED", "tried for this part before"),
        /** It is ejected after failures. */
        EJECTED(2, "SET_ASIDE", "ejected after failures"),
        /** As many attempts are pending there as its concurrency limit allows. */
        AT_CONCURRENCY_LIMIT(3, "NO_ROOM", "at its concurrency limit"),
        /** It is warming up and its slow-start budget is spent. */
        AT_SLOW_START_BUDGET(4, "COLD_BUDGET", "warming up and at its slow-start budget"),
        /** It failed lately, or its zone is late, and another replica is not suspect. */
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

        /** The cause in words, for people. */
        public String description() {
            return description;
        }
    }
}
