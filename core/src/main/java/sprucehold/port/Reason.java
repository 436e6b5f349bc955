package sprucehold.port;

/** Why a gatherer wants an action. New reasons are added at the end: files hold their numbers. */
public enum Reason {
    /** Whoever decided does not say why. */
    UNSTATED("not stated"),

    // ---- Why a part goes out ----
    FIRST_ROUND("its scan's first round"),
    LATER_ROUND("a later round, as the one before brought less than was needed"),
    EMPTY_ROUND("all that was unsent goes, as the round before brought nothing"),
    /** The first dispatch of a part for which no holder could be used when its round began. */
    WAITED("it had waited for a holder that may be used"),
    /** The dispatch before may have run, and the table type allows it to run again. */
    FURTHER_TRY("a further try after a failure"),
    /** The dispatch before provably never ran. */
    NEVER_RAN("a further try, as the one before never ran"),
    SECOND_COPY("a second copy, as the one that is out is late"),

    // ---- Why a scan is turned away before it begins ----
    NO_ROOM("too few of its parts had a server with room"),
    OVER_SHARE("too few of its parts had a server with room for a customer beyond its share"),
    PRESSURE("the fleet as a whole is slow"),
    CLIENT_TOO_SHORT("its client leaves before the parts are usually in"),
    LEAST_BENEFIT("nearly all that may be open is, and it brings least"),

    // ---- Why a scan ends ----
    WHOLE("all that it needs is in"),
    TARGET_TIME("its target time is here and the least share is in"),
    TIME_OVER("its client's time is over"),
    NOTHING_MORE("nothing more can come"),
    UNDER_LEAST("what is in and may still come is under the least share"),
    ALL_BROKEN("all its parts broke their connections"),
    CLIENT_LEFT("its client has left"),

    // ---- Why a dispatch is called off ----
    PART_COMPLETED("another dispatch of its part is completed"),
    SCAN_OVER("its scan is over"),
    NEXT_STEP("its scan has gone on to the second step"),

    // ---- Why the list is asked for, and time ----
    FIRST_LIST("a first list is there and must be followed"),
    LIST_FAILED("the call before failed"),
    ALARM("something falls due then");

    private final String words;

    Reason(String words) {
        this.words = words;
    }

    /** The reason in words that complete "because". */
    public String words() {
        return words;
    }
}
