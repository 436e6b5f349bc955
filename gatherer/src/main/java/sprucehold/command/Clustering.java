package sprucehold.command;

import java.io.IOException;
import java.nio.file.Path;
import sprucehold.clustering.ClusterConfig;
import sprucehold.clustering.ClusterMember;
import sprucehold.node.NodeExtension;
import sprucehold.node.StartFailedException;

/**
 * Creates the extension that coordinates a gatherer with other gatherers; its classes are loaded
 * only if the operator has enabled it.
 */
final class Clustering {
    private Clustering() {}

    /**
     * Reads the cluster's configuration and returns a factory of cluster members.
     *
     * @throws IOException if the file can't be read or is invalid; the message lists all errors in
     *     one line
     */
    static NodeExtension.Factory read(Path file) throws IOException {
        ClusterConfig cluster = ClusterConfig.read(file);
        return (vertx, config, clock) -> {
            try {
                return new ClusterMember(vertx, config, clock, cluster);
            } catch (IllegalArgumentException e) {
                throw new StartFailedException(file + ": " + e.getMessage(), e);
            }
        };
    }
}
