package sprucehold.decision;

/**
 * A limit that holds for the sum of all gatherers and of which each may be granted allowances.
 *
 * @param kind what is limited
 * @param subject the shard server or the tenant by name; empty where it concerns the fleet as a
 *     whole
 */
public record SharedLimit(Kind kind, String subject) {
    /** The limit of retries and hedged requests of the whole fleet. */
    public static final SharedLimit RETRIES = new SharedLimit(Kind.RETRIES, "");

    /** What is limited, and what a unit of it is. */
    public enum Kind implements StoredEnum {
        /** What a shard server that is warming up is sent; milliseconds of work on one core. */
        SLOW_START(0, "COLD"),
        /** Attempts beyond each part's first; one each. */
        RETRIES(1, "FURTHER"),
        /** Queries that lie within a tenant's quota; one each. */
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

    /** The limit of what a shard server is sent while it is warming up. */
    public static SharedLimit slowStart(String server) {
        return new SharedLimit(Kind.SLOW_START, server);
    }

    /** The quota of a tenant. */
    public static SharedLimit tenantQuota(String tenant) {
        return new SharedLimit(Kind.TENANT_QUOTA, tenant);
    }
}
