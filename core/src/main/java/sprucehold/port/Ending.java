package sprucehold.port;

/** How a dispatch or a probe ended. */
public enum Ending {
    COMPLETED(false),
    ERROR(false),
    FULL(true),
    TIMED_OUT(false),
    UNCONNECTED(true),
    RESET(false),
    CANCELLED(false),
    NEVER_SENT(true);

    /** Whether this ending proves that the part never ran. */
    public final boolean provesNeverRan;

    Ending(boolean provesNeverRan) {
        this.provesNeverRan = provesNeverRan;
    }
}
