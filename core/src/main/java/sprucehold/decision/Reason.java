package sprucehold.decision;

/** Reason for a {@link Command}. */
public enum Reason implements StoredEnum {
    /** The policy states no reason. */
    UNSTATED(0, "UNSTATED", "not stated"),

    /** A part is sent in the first round of its query. */
    FIRST_ROUND(1, "FIRST_ROUND", "its query's first round"),
    /** A part is sent in a later round because the previous round completed too few parts. */
    LATER_ROUND(
            2, "LATER_ROUND", "a later round, as the one before completed fewer than were needed"),
    /** All unsent parts are sent because the previous round completed none. */
    ROUND_AFTER_EMPTY(
            3, "EMPTY_ROUND", "all unsent parts go, as the round before completed nothing"),
    /** A part is first sent now because no replica was available when its round began. */
    REPLICA_AVAILABLE(4, "WAITED", "it had waited for an available replica"),
    /**
     * A part is sent again after an attempt that may have run, because the query class allows the
     * part to run again.
     */
    RETRY(5, "FURTHER_TRY", "a retry after a failure"),
    /** A part is sent again because its earlier attempts provably never ran. */
    RETRY_NOT_RUN(6, "NEVER_RAN", "a retry, as the attempt before never ran"),
    /** A second attempt is sent while the first one is pending and late. */
    HEDGE(7, "SECOND_COPY", "a hedged request, as the pending attempt is late"),

    /** A query is rejected because too few of its parts had an available replica in time. */
    NO_CAPACITY(8, "NO_ROOM", "too few of its parts had a replica with capacity"),
    /** Same as {@link #NO_CAPACITY}, for a query beyond its tenant's quota. */
    OVER_QUOTA(
            9,
            "OVER_SHARE",
            "too few of its parts had a replica with capacity for a tenant over its quota"),
    /** A query is rejected because the fleet as a whole is slow. */
    OVERLOAD(10, "PRESSURE", "the fleet as a whole is slow"),
    /** A query is rejected because its parts usually complete only after its deadline. */
    DEADLINE_TOO_SHORT(
            11, "CLIENT_TOO_SHORT", "its client leaves before the parts are usually completed"),
    /**
     * A query is rejected because the limit of open queries and parts is nearly reached and the
     * query has the lowest priority.
     */
    LOWEST_PRIORITY(
            12, "LEAST_BENEFIT", "nearly all that may be open is, and its priority is the lowest"),

    /**
     * A query has reached the coverage of a complete answer. The query ends, unless a second step
     * follows.
     */
    COMPLETE(13, "WHOLE", "all that it needs is completed"),
    /** A query ends at its latency objective with at least its minimum coverage. */
    LATENCY_OBJECTIVE(
            14, "TARGET_TIME", "its latency objective is here and the minimum coverage reached"),
    /** A query ends because the deadline of its client is reached. */
    DEADLINE(15, "TIME_OVER", "its client's deadline is here"),
    /** A query ends because no further part can complete. */
    NOTHING_PENDING(16, "NOTHING_MORE", "no further part can complete"),
    /** A query ends because it can no longer reach its minimum coverage. */
    BELOW_MINIMUM_COVERAGE(
            17, "UNDER_LEAST", "what is completed and may still be is under the minimum coverage"),
    /**
     * A query ends because a connection was reset, none of its parts completed and no attempt is
     * pending.
     */
    ALL_CONNECTIONS_RESET(18, "ALL_BROKEN", "all its parts reset their connections"),
    /** A query ends because its client has disconnected. */
    CLIENT_DISCONNECTED(19, "CLIENT_LEFT", "its client has disconnected"),

    /** An attempt is cancelled because another attempt of its part completed. */
    PART_COMPLETED(20, "PART_COMPLETED", "another attempt of its part completed"),
    /** An attempt is cancelled because its query has ended. */
    QUERY_OVER(21, "SCAN_OVER", "its query is over"),
    /** An attempt is cancelled because its query has started its second step. */
    NEXT_STEP(22, "NEXT_STEP", "its query has gone on to the second step"),

    /** The policy subscribes to endpoint updates after the first endpoint list. */
    FIRST_ENDPOINTS(23, "FIRST_LIST", "a first endpoint list came and must be kept up to date"),
    /** The policy subscribes to endpoint updates again after a failure. */
    ENDPOINTS_UNAVAILABLE(24, "LIST_FAILED", "the call before failed"),
    /** A wake-up is scheduled for the time of the next timer. */
    TIMER(25, "ALARM", "a timer falls due then");

    private final int storedNumber;
    private final String storedName;
    private final String description;

    Reason(int storedNumber, String storedName, String description) {
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

    /** Returns a description for operators, worded to follow "because". */
    public String description() {
        return description;
    }
}
