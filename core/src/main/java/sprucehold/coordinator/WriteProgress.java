package sprucehold.coordinator;

/** How far an attempt had been written when it ended without an answer. */
public enum WriteProgress {
    /** Nothing of it was written: no connection came up, or it was no longer needed. */
    NOT_WRITTEN,
    /** The connection broke before the last byte of its frame was written. */
    PARTLY_WRITTEN,
    /** All of it was written, so it may have run. */
    WRITTEN
}
