package sprucehold.trace.format;

/** The numbers of record kinds, as the grammar has them. */
final class RecordKind {
    static final int MOMENT = 1;
    static final int GAP = 2;
    static final int SCAN_TAKEN = 10;
    static final int PART_TAKEN = 11;
    static final int DISPATCH_ENDED = 12;
    static final int CLIENT_LEFT = 13;
    static final int LIST_RECEIVED = 14;
    static final int LIST_UNAVAILABLE = 15;
    static final int PROBE_ENDED = 16;
    static final int WOKEN = 17;
    static final int FACTS_CHANGED = 18;
    static final int OTHERS_TOLD = 19;
    static final int DISPATCH = 30;
    static final int CANCEL = 31;
    static final int ANSWER = 32;
    static final int THROTTLE = 33;
    static final int ABANDON = 34;
    static final int WAKE = 35;
    static final int PROBE = 36;
    static final int FOLLOW_LIST = 37;
    static final int NOTE = 38;
    static final int USE = 39;

    /** Of a moment's flags. */
    static final int FAILED = 1;

    static final int LEFT_OUT = 2;

    private RecordKind() {}
}
