package sprucehold.facts;

import java.io.IOException;

/** The settings don't tell what has to be known. */
public final class MalformedFactsException extends IOException {
    private static final long serialVersionUID = 1L;

    public MalformedFactsException(String message) {
        super(message);
    }
}
