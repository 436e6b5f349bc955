package sprucehold.node;

/** Thrown when a gatherer can't be started; the message states the reason in one line. */
public final class StartFailedException extends Exception {
    private static final long serialVersionUID = 1L;

    /** Creates an exception without a cause. */
    public StartFailedException(String message) {
        super(message);
    }

    /** Creates an exception with a cause. */
    public StartFailedException(String message, Throwable cause) {
        super(message, cause);
    }
}
