package sprucehold.command;

import java.io.IOException;
import java.nio.file.Path;
import sprucehold.clustering.ClusterConfig;
import sprucehold.clustering.ClusterMember;
import sprucehold.node.NodeExtension;

/** Talk among gatherers; loaded only where an operator has switched it on. */
final class Clustering {
    private Clustering() {}

    static NodeExtension.Factory read(Path file) throws IOException {
        ClusterConfig plan = ClusterConfig.read(file);
        return (vertx, config, clock) -> {
            try {
                return new ClusterMember(vertx, config, clock, plan);
            } catch (IllegalArgumentException e) {
                throw new IllegalArgumentException(file + ": " + e.getMessage(), e);
            }
        };
    }
}
