package sprucehold.decision;

/** Outcome of an attempt or a health check. */
public enum AttemptOutcome implements StoredEnum {
    /** The shard server returned a value. */
    COMPLETED(0, "COMPLETED", false),
    /** The shard server returned an error, or its response couldn't be read. */
    ERROR(1, "ERROR", false),
    /** The shard server was at its limit and rejected the request without processing it. */
    OVERLOADED(2, "FULL", true),
    /** No response arrived within the timeout. */
    TIMED_OUT(3, "TIMED_OUT", false),
    /**
     * The request could not be written in full: no connection was established, or the connection
     * ended before the last byte was written.
     */
    UNREACHABLE(4, "UNCONNECTED", true),
    /** The connection ended after the request was written in full. */
    RESET(5, "RESET", false),
    /** The attempt was cancelled after the request was written in full. */
    CANCELLED(6, "CANCELLED", false),
    /**
     * The attempt could not be sent, for example because its shard server is no longer listed, or
     * it was cancelled before the request was written in full.
     */
    NEVER_SENT(7, "NEVER_SENT", true);

    private final int storedNumber;
    private final String storedName;
    private final boolean provesNeverRan;

    AttemptOutcome(int storedNumber, String storedName, boolean provesNeverRan) {
        this.storedNumber = storedNumber;
        this.storedName = storedName;
        this.provesNeverRan = provesNeverRan;
    }

    @Override
    public int storedNumber() {
        return storedNumber;
    }

    @Override
    public String storedName() {
        return storedName;
    }

    /** Returns whether this outcome proves that the part never ran on the shard server. */
    public boolean provesNeverRan() {
        return provesNeverRan;
    }
}
