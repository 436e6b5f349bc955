package sprucehold.deployment;

import java.io.IOException;

/**
 * Settings that nobody can serve by: a field is missing, of another kind, or contradicts another.
 */
public final class InvalidSettingsException extends IOException {
    private static final long serialVersionUID = 1L;

    /**
     * @param message names the field and what was expected of it
     */
    public InvalidSettingsException(String message) {
        super(message);
    }
}
