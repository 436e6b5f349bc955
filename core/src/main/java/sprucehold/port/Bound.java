package sprucehold.port;

/**
 * A bound that gatherers may share, or the part of one that concerns one thing.
 *
 * @param of the shard server or the customer by name; empty where it concerns the fleet as a whole
 */
public record Bound(Kind kind, String of) {
    /** Dispatches beyond each part's first. */
    public static final Bound FURTHER = new Bound(Kind.FURTHER, "");

    /**
     * What is bounded, and what a unit of it is. New kinds are added at the end: files hold their
     * numbers.
     */
    public enum Kind {
        /** What a shard server that has just started is sent; milliseconds of work on one core. */
        COLD,
        /** Dispatches beyond each part's first; one each. */
        FURTHER,
        /** Scans that lie within a customer's share; one each. */
        CUSTOMER
    }

    /** What a shard server is sent while it is cold. */
    public static Bound cold(String server) {
        return new Bound(Kind.COLD, server);
    }

    /** A customer's share. */
    public static Bound customer(String name) {
        return new Bound(Kind.CUSTOMER, name);
    }
}
