package sprucehold.simulation;

import java.io.IOException;

/** The input is no valid batch. */
public final class MalformedBatchException extends IOException {
    private static final long serialVersionUID = 1L;

    public MalformedBatchException(String message) {
        super(message);
    }
}
