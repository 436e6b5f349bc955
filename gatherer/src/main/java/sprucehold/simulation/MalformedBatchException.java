package sprucehold.simulation;

import java.io.IOException;

/** The input is no valid batch; the message says why, in one line. */
public final class MalformedBatchException extends IOException {
    private static final long serialVersionUID = 1L;

    MalformedBatchException(String message) {
        super(message);
    }
}
