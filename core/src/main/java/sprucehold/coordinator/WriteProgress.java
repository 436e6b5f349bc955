package sprucehold.coordinator;

/** How much of an attempt had been written when it ended without an answer. */
public enum WriteProgress {
    /**
     * Nothing was written, because no connection was established or the attempt was no longer
     * needed.
     */
    NOT_WRITTEN,
    /** The connection broke before the last byte of its frame was written. */
    PARTLY_WRITTEN,
    /** The whole frame was written, so the part may have run. */
    WRITTEN
}
