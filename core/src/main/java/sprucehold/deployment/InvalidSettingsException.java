package sprucehold.deployment;

import java.io.IOException;

/**
 * Thrown for settings that a gatherer can't use because a field is missing, has the wrong type or
 * contradicts another field.
 */
public final class InvalidSettingsException extends IOException {
    private static final long serialVersionUID = 1L;

    /**
     * @param message detail message with the field and the expected value
     */
    public InvalidSettingsException(String message) {
        super(message);
    }
}
