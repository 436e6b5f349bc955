package sprucehold.decision;

/**
 * Limit on the total that all gatherers consume. Each gatherer may be granted an allowance, the
 * number of units that it may consume itself.
 *
 * @param kind kind of the limit
 * @param subject name of the shard server or tenant; empty if the limit applies to the whole fleet
 */
public record SharedLimit(Kind kind, String subject) {
    /** Limit of retries and hedged requests of the whole fleet. */
    public static final SharedLimit RETRIES = new SharedLimit(Kind.RETRIES, "");

    /** Kind of a shared limit. The description of each kind states the unit. */
    public enum Kind implements StoredEnum {
        /** Work sent to a shard server that is warming up; a unit is 1 ms of work on one core. */
        SLOW_START(0, "COLD"),
        /** Attempts beyond the first of each part, one unit each. */
        RETRIES(1, "FURTHER"),
        /** Queries within a tenant's quota, one unit each. */
        TENANT_QUOTA(2, "CUSTOMER");

        private final int storedNumber;
        private final String storedName;

        Kind(int storedNumber, String storedName) {
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

    /** Returns the limit of work sent to a shard server while it is warming up. */
    public static SharedLimit slowStart(String server) {
        return new SharedLimit(Kind.SLOW_START, server);
    }

    /** Returns the quota of a tenant. */
    public static SharedLimit tenantQuota(String tenant) {
        return new SharedLimit(Kind.TENANT_QUOTA, tenant);
    }
}
