package sprucehold.node;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.util.function.Consumer;
import java.util.logging.Logger;
import sprucehold.coordinator.Observation;
import sprucehold.decision.Deployment;
import sprucehold.discovery.EndpointList;
import sprucehold.discovery.EndpointWatch;

/**
 * Where a gatherer has its endpoint list from: discovery, or the list that its configuration knows
 * from before where discovery is silent or there is none.
 */
final class EndpointSource {
    private static final Logger LOG = Logger.getLogger(EndpointSource.class.getName());

    private final boolean withoutDiscovery;
    private final EndpointList knownEndpoints;
    private final EndpointWatch watch;
    private final Consumer<Observation> observer;
    private boolean received;

    EndpointSource(Vertx vertx, NodeConfig config, Clock clock, Consumer<Observation> observer) {
        Deployment deployment = config.settings().deployment();
        this.withoutDiscovery = config.discovery().equals(NodeConfig.Address.NONE);
        this.knownEndpoints = config.knownEndpoints();
        this.observer = observer;
        this.watch =
                new EndpointWatch(
                        vertx,
                        config.discovery().host(),
                        config.discovery().port(),
                        deployment.layout().replicaGroups(),
                        deployment.endpointSubscription().mustSubscribe(),
                        deployment.endpointSubscription().maxPollIntervalMs(),
                        clock::now,
                        observer);
    }

    /**
     * Follows discovery; succeeds once it has answered or was silent for too long. A known list
     * that may be out of date is better than none.
     */
    Future<Void> start() {
        if (withoutDiscovery) {
            watch.stop();
        }
        Future<Void> asked = withoutDiscovery ? Future.succeededFuture() : watch.start();
        return asked.map(
                none -> {
                    useKnownEndpointsIfNoneReceived();
                    return null;
                });
    }

    private void useKnownEndpointsIfNoneReceived() {
        if (!received && knownEndpoints != null) {
            observer.accept(new Observation.EndpointsUpdated(true, knownEndpoints.servers()));
        }
    }

    /** Notes whether an observation brings the first endpoint list. */
    void observed(Observation observation) {
        if (observation instanceof Observation.EndpointsUpdated && !received) {
            received = true;
            LOG.info("ready: endpoint list received");
        }
    }

    /** Whether an endpoint list was received, from wherever. */
    boolean received() {
        return received;
    }

    /** Asks discovery for its list, as the decisions command. */
    void subscribe() {
        watch.poll();
    }

    /** Follows discovery at another address from now on. */
    void move(NodeConfig.Address discovery) {
        watch.moveTo(discovery.host(), discovery.port());
    }

    void stop() {
        watch.stop();
    }
}
