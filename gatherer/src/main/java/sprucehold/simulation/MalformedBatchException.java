package sprucehold.simulation;

import java.io.IOException;

/** Thrown when the input isn't a valid batch; the message states the reason in one line. */
public final class MalformedBatchException extends IOException {
    private static final long serialVersionUID = 1L;

    MalformedBatchException(String message) {
        super(message);
    }
}
