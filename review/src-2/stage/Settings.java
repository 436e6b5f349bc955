package stage;

/** Settings of a small deployment: three groups, each shard held by one of them. */
public final class Settings {
    /** Number of groups. */
    public static final int GROUPS = 3;

    /** Number of shards. */
    public static final int SHARDS = 15;

    /** Class whose parts may run again; its clients wait 1.5 s. */
    public static final String REPLAYABLE = "receipt-search";

    /** Class of which no part may run twice; its clients wait 2.5 s. */
    public static final String NON_REPLAYABLE = "stamp-card";

    /** Longest wait of the clients of {@link #REPLAYABLE}. */
    public static final long REPLAYABLE_MS = 1500;

    /** Longest wait of the clients of {@link #NON_REPLAYABLE}. */
    public static final long NON_REPLAYABLE_MS = 2500;

    /** The settings as a JSON object. */
    public static final String JSON =
            "{\"balancers\":1,\"locality\":\"a\",\"quantumMs\":5.0,\"overShareWorth\":0.2,"
                    + "\"discovery\":\"automatic\",\"classes\":["
                    + "{\"name\":\"receipt-search\",\"semantics\":\"retryable\",\"aimMs\":800.0,"
                    + "\"giveUpMs\":1500.0,\"worth\":1.0,\"lateValue\":0.1},"
                    + "{\"name\":\"stamp-card\",\"semantics\":\"fragile\",\"aimMs\":800.0,"
                    + "\"giveUpMs\":2500.0,\"worth\":1.0,\"lateValue\":0.3}],"
                    + "\"tenants\":[{\"name\":\"kempen-spaarbank\",\"allowancePerS\":60.0,\"share\":1.0}],"
                    + "\"familyInfo\":{\"ranges\":15,\"sets\":3,\"width\":1,\"bundleMax\":1,"
                    + "\"completeFrom\":[1.0,1.0],\"leastShare\":[1.0,1.0],\"classFetch\":[0,0]},"
                    + "\"feedback\":{\"source\":\"none\",\"fields\":[]},"
                    + "\"limits\":{\"cancel\":true,\"dialTimeoutMs\":250.0,\"idleCloseMs\":15000.0,"
                    + "\"maxOpen\":400,\"maxRetryAfterMs\":1000.0,\"retryAfter\":true,"
                    + "\"secondCopies\":true,\"sendCap\":4,\"streamsPerConn\":32},"
                    + "\"safety\":{\"coldFrom\":0.16,\"coldMs\":17000.0,\"fallMultiple\":4.0,"
                    + "\"overloadForMs\":1000.0,\"drainGraceMs\":250.0,\"mustAskInMs\":10000.0}}";

    /** The same where discovery has to be asked; a drain has a grace of half a second. */
    public static final String ASKED =
            JSON.replace("\"automatic\"", "\"subscribe\"")
                    .replace("\"drainGraceMs\":250.0", "\"drainGraceMs\":500.0");

    private Settings() {}
}
