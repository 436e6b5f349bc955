package sprucehold.node;

import com.fasterxml.jackson.databind.JsonNode;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import sprucehold.coordinator.Attempt;
import sprucehold.coordinator.Observation;
import sprucehold.coordinator.Query;
import sprucehold.coordinator.QueryCoordinator;
import sprucehold.decision.ClusterView;
import sprucehold.decision.Command;

/** All extensions of one gatherer, called in the order of their configuration. */
final class NodeExtensions {
    /** A gatherer without extensions. */
    static final NodeExtensions NONE = new NodeExtensions(List.of(), null);

    private final List<NodeExtension> extensions;
    private final Clock clock;

    private NodeExtensions(List<NodeExtension> extensions, Clock clock) {
        this.extensions = extensions;
        this.clock = clock;
    }

    static NodeExtensions create(
            List<NodeExtension.Factory> factories, Vertx vertx, NodeConfig config, Clock clock)
            throws StartFailedException {
        var extensions = new ArrayList<NodeExtension>();
        for (NodeExtension.Factory factory : factories) {
            extensions.add(factory.create(vertx, config, clock));
        }
        return new NodeExtensions(List.copyOf(extensions), clock);
    }

    /** Starts all extensions; the future succeeds once all have started. */
    Future<Void> start() {
        return Future.all(extensions.stream().map(NodeExtension::start).toList()).mapEmpty();
    }

    /** Ends all extensions; the future succeeds once all have ended, even if some failed to. */
    Future<Void> stop() {
        return Future.join(extensions.stream().map(NodeExtension::stop).toList())
                .<Void>mapEmpty()
                .otherwiseEmpty();
    }

    void queryReceived(Query query) {
        extensions.forEach(extension -> extension.queryReceived(clock.now(), query));
    }

    void observed(Observation observation) {
        extensions.forEach(extension -> extension.observed(clock.now(), observation));
    }

    /** Passes the new cluster views of the extensions to the coordinator. */
    void updateClusterView(QueryCoordinator coordinator) {
        for (NodeExtension extension : extensions) {
            ClusterView view = extension.clusterView(clock.now());
            if (view != null) {
                coordinator.changeClusterView(view);
            }
        }
    }

    /** Consumes units of a shared limit that belong to no attempt. */
    void consume(Command.ConsumeAllowance consumption) {
        extensions.forEach(extension -> extension.consumeAllowance(clock.now(), consumption));
    }

    /**
     * Consumes the units of shared limits that an attempt needs, and announces the attempt to the
     * extensions. Right before its write the attempt checks that the units are still granted.
     *
     * @return false if the units aren't available; the attempt must not be sent then
     */
    boolean permit(Attempt attempt) {
        var permissions = new ArrayList<BooleanSupplier>();
        for (Command.ConsumeAllowance consumption : attempt.consumed()) {
            extensions.forEach(
                    extension ->
                            permissions.add(extension.consumeAllowance(clock.now(), consumption)));
        }
        if (permissions.contains(null)) {
            return false;
        }
        if (!permissions.isEmpty()) {
            attempt.setPermissionCheck(
                    () -> permissions.stream().allMatch(BooleanSupplier::getAsBoolean));
        }
        extensions.forEach(extension -> extension.attemptStarting(clock.now(), attempt));
        return true;
    }

    /** Returns the status of each extension for operators, by the extension's name. */
    Map<String, Supplier<JsonNode>> statuses() {
        var statuses = new LinkedHashMap<String, Supplier<JsonNode>>();
        extensions.forEach(extension -> statuses.put(extension.name(), extension::status));
        return statuses;
    }
}
