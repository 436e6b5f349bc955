package sprucehold.trace.format;

/** Numbers of the record kinds, as the grammar in the package description defines them. */
final class RecordKind {
    static final int POLICY_CALL = 1;
    static final int GAP = 2;
    static final int QUERY_RECEIVED = 10;
    static final int PART_RECEIVED = 11;
    static final int ATTEMPT_ENDED = 12;
    static final int CLIENT_DISCONNECTED = 13;
    static final int ENDPOINTS_UPDATED = 14;
    static final int ENDPOINTS_UNAVAILABLE = 15;
    static final int HEALTH_CHECK_ENDED = 16;
    static final int WAKE_UP = 17;
    static final int DEPLOYMENT_CHANGED = 18;
    static final int CLUSTER_VIEW_CHANGED = 19;
    static final int SEND_ATTEMPT = 30;
    static final int CANCEL_ATTEMPT = 31;
    static final int ANSWER_QUERY = 32;
    static final int REJECT_QUERY = 33;
    static final int FAIL_QUERY = 34;
    static final int SCHEDULE_WAKE_UP = 35;
    static final int CHECK_HEALTH = 36;
    static final int SUBSCRIBE_TO_ENDPOINTS = 37;
    static final int LOG_MESSAGE = 38;
    static final int CONSUME_ALLOWANCE = 39;

    /** Flag of a policy call: the policy threw an exception. */
    static final int POLICY_FAILED = 1;

    /** Flag of a policy call: some of its items are omitted. */
    static final int ITEMS_OMITTED = 2;

    private RecordKind() {}
}
