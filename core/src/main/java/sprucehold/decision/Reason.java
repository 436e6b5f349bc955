package sprucehold.decision;

/** Why a {@link Command} is wanted. */
public enum Reason implements StoredEnum {
    /** The policy doesn't say why. */
    UNSTATED(0, "UNSTATED", "not stated"),

    /** A part is sent in its query's first round. */
    FIRST_ROUND(1, "FIRST_ROUND", "its query's first round"),
    /** A part is sent in a later round, as the round before completed too few parts. */
    LATER_ROUND(
            2, "LATER_ROUND", "a later round, as the one before completed fewer than were needed"),
    /** All unsent parts are sent, as the round before completed none. */
    ROUND_AFTER_EMPTY(
            3, "EMPTY_ROUND", "all unsent parts go, as the round before completed nothing"),
    /** The first attempt of a part for which no replica was available when its round began. */
    REPLICA_AVAILABLE(4, "WAITED", "it had waited for an available replica"),
    /** The attempt before may have run, and the query class allows it to run again. */
    RETRY(5, "FURTHER_TRY", "a retry after a failure"),
    /** The attempt before provably never ran. */
    RETRY_NOT_RUN(6, "NEVER_RAN", "a retry, as the attempt before never ran"),
    /** A second attempt beside one that is late. */
    HEDGE(7, "SECOND_COPY", "a hedged request, as the pending attempt is late"),

    /** A query is rejected: too few of its parts had an available replica in time. */
    NO_CAPACITY(8, "NO_ROOM", "too few of its parts had a replica with capacity"),
    /** As {@link #NO_CAPACITY}, for a query beyond its tenant's quota. */
    OVER_QUOTA(
            9,
            "OVER_SHARE",
            "too few of its parts had a replica with capacity for a tenant over its quota"),
    /** A query is rejected: the fleet as a whole is slow. */
    OVERLOAD(10, "PRESSURE", "the fleet as a whole is slow"),
    /** A query is rejected: its client leaves before the parts are usually completed. */
    DEADLINE_TOO_SHORT(
            11, "CLIENT_TOO_SHORT", "its client leaves before the parts are usually completed"),
    /** A query is rejected: nearly all that may be open is, and its priority is the lowest. */
    LOWEST_PRIORITY(
            12, "LEAST_BENEFIT", "nearly all that may be open is, and its priority is the lowest"),

    /** A query ends with all that a complete answer needs. */
    COMPLETE(13, "WHOLE", "all that it needs is completed"),
    /** A query ends at its latency objective with at least the minimum coverage. */
    LATENCY_OBJECTIVE(
            14, "TARGET_TIME", "its latency objective is here and the minimum coverage reached"),
    /** A query ends as its client's time is over. */
    DEADLINE(15, "TIME_OVER", "its client's deadline is here"),
    /** A query ends as no further part can complete. */
    NOTHING_PENDING(16, "NOTHING_MORE", "no further part can complete"),
    /** A query ends as it can't reach its minimum coverage any more. */
    BELOW_MINIMUM_COVERAGE(
            17, "UNDER_LEAST", "what is completed and may still be is under the minimum coverage"),
    /** A query ends as each part that was sent reset its connection. */
    ALL_CONNECTIONS_RESET(18, "ALL_BROKEN", "all its parts reset their connections"),
    /** A query ends as its client has disconnected. */
    CLIENT_DISCONNECTED(19, "CLIENT_LEFT", "its client has disconnected"),

    /** An attempt is cancelled as another one of its part completed. */
    PART_COMPLETED(20, "PART_COMPLETED", "another attempt of its part completed"),
    /** An attempt is cancelled as its query has ended. */
    QUERY_OVER(21, "SCAN_OVER", "its query is over"),
    /** An attempt is cancelled as its query has gone on to its second step. */
    NEXT_STEP(22, "NEXT_STEP", "its query has gone on to the second step"),

    /** Endpoint updates are subscribed to after a first endpoint list. */
    FIRST_ENDPOINTS(23, "FIRST_LIST", "a first endpoint list came and must be kept up to date"),
    /** Endpoint updates are subscribed to again after a failure. */
    ENDPOINTS_UNAVAILABLE(24, "LIST_FAILED", "the call before failed"),
    /** A wake-up is scheduled for the next timer. */
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

    /** The reason in words that complete "because", for people. */
    public String description() {
        return description;
    }
}
