package sprucehold.deployment;

import java.io.IOException;

/** The settings don't tell what has to be known. */
public final class InvalidSettingsException extends IOException {
    private static final long serialVersionUID = 1L;

    public InvalidSettingsException(String message) {
        super(message);
    }
}
