package sprucehold.command;

import java.io.IOException;
import java.nio.file.Path;
import sprucehold.clustering.ClusterConfig;
import sprucehold.clustering.ClusterMember;
import sprucehold.node.NodeExtension;
import sprucehold.node.StartFailedException;

/**
 * Coordination with other gatherers as an extension; its classes are loaded only where an operator
 * has switched it on.
 */
final class Clustering {
    private Clustering() {}

    /**
     * Reads the cluster's configuration and returns what makes a member of it.
     *
     * @throws IOException with all that is wrong with the file, in one line
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
