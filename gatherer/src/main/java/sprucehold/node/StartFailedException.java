package sprucehold.node;

/** A gatherer can't be started; the message says why, in one line. */
public final class StartFailedException extends Exception {
    private static final long serialVersionUID = 1L;

    /** Makes an exception that no other one caused. */
    public StartFailedException(String message) {
        super(message);
    }

    /** Makes an exception with its cause. */
    public StartFailedException(String message, Throwable cause) {
        super(message, cause);
    }
}
