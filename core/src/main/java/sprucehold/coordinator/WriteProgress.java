package sprucehold.coordinator;

/** How much of an attempt had been written when it ended without an answer. */
public enum WriteProgress {
    /**
     * Nothing was written, for example because no connection was established or the attempt was no
     * longer needed.
     */
    NOT_WRITTEN,
    /** The connection ended before the last byte of the frame was written. The part has not run. */
    PARTLY_WRITTEN,
    /** The whole frame was written, so the part may have run. */
    WRITTEN
}
