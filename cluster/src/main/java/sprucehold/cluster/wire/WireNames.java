package sprucehold.cluster.wire;

/**
 * Names of records and fields in the Avro schema of peer messages; the documentation of {@link
 * Codec} lists the corresponding names in this program.
 */
final class WireNames {
    static final String FROM = "from";
    static final String TO = "to";
    static final String HIGHEST_VERSION = "reads";
    static final String BODY = "body";

    static final String PING = "Ping";
    static final String ACK = "Ack";
    static final String PING_REQUEST = "PingFor";
    static final String COMPARE_DIGEST = "Compare";
    static final String MEMBER_TABLE = "Table";
    static final String QUOTA_PART = "Shares";
    static final String OBSERVATION_PART = "Told";

    static final String LEASE_REQUEST = "Ask";
    static final String LEASE_GRANT = "Grant";
    static final String LEASE_REFUSAL = "Nothing";
    static final String RENEWAL_REQUEST = "Renew";
    static final String RENEWAL_GRANT = "Renewed";
    static final String LEASE_RETURN = "Return";

    static final String SEQUENCE_NUMBER = "number";
    static final String UPDATES = "news";
    static final String TARGET = "target";
    static final String DIGEST = "digest";
    static final String REPLY_WANTED = "back";

    static final String NAME = "name";
    static final String SITE = "site";
    static final String GENERATION = "life";
    static final String INCARNATION = "incarnation";
    static final String STATE = "state";

    static final String LIMIT_MESSAGES = "shares";
    static final String LIMIT = "bound";
    static final String QUOTA_MESSAGE = "message";
    static final String EPOCH = "epoch";
    static final String REQUEST_NUMBER = "request";
    static final String UNITS = "units";
    static final String LEASE = "loan";
    static final String LENDER = "lender";
    static final String LEASE_NUMBER = "number";

    static final String COUNTERS = "counts";
    static final String KEY = "key";
    static final String TOTAL = "total";
    static final String OBSERVATIONS = "sightings";
    static final String SERVER = "server";
    static final String SERVER_SITE = "serverSite";
    static final String SERVER_STARTED_AT_MS = "startedAtMs";
    static final String SUCCESSES = "good";
    static final String FAILURES = "bad";

    private WireNames() {}
}
