package sprucehold.node;

import java.util.logging.LogManager;

/**
 * Keeps the log open while the process ends: java.util.logging resets itself in a shutdown hook of
 * its own, and would lose the lines of ours.
 */
public final class ServiceLogManager extends LogManager {
    @Override
    public void reset() {
        // Nothing to take back: the process ends and standard error is never buffered.
    }
}
