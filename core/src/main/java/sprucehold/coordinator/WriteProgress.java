package sprucehold.coordinator;

/** How far a dispatch had come when it ended without an answer. */
public enum WriteProgress {
    /** Nothing of it was written: there was no connection, or no need any more. */
    NOT_WRITTEN,
    /** The connection broke before the last byte of its frame was written. */
    PARTLY_WRITTEN,
    /** All of it was written, so it may have run. */
    WRITTEN
}
