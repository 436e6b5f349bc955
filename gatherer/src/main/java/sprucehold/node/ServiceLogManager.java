package sprucehold.node;

import java.util.logging.LogManager;

/**
 * Log manager that keeps the log open while the process ends. java.util.logging resets its handlers
 * in its own shutdown hook. Without this class, lines that the gatherer's shutdown hook logs after
 * that would be lost.
 */
public final class ServiceLogManager extends LogManager {
    @Override
    public void reset() {
        // Nothing to release: the process is ending, and standard error isn't buffered.
    }
}
