package sprucehold.decision;

/** How an attempt or a health check ended. */
public enum AttemptOutcome implements StoredEnum {
    /** The shard server answered. */
    COMPLETED(0, "COMPLETED", false),
    /** The shard server failed on it, or its answer couldn't be read. */
    ERROR(1, "ERROR", false),
    /** The shard server refused it unseen, being at its limit. */
    OVERLOADED(2, "FULL", true),
    /** No answer came within its timeout. */
    TIMED_OUT(3, "TIMED_OUT", false),
    /** It could not be written in whole: no connection came up, or it ended before. */
    UNREACHABLE(4, "UNCONNECTED", true),
    /** Its connection ended after it was written. */
    RESET(5, "RESET", false),
    /** It was cancelled after it was written. */
    CANCELLED(6, "CANCELLED", false),
    /** It was cancelled, or couldn't be made, before anything of it was written. */
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

    /** Whether this outcome proves that the part never ran at the shard server. */
    public boolean provesNeverRan() {
        return provesNeverRan;
    }
}
