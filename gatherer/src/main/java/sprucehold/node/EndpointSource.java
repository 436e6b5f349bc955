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
 * Source of a gatherer's endpoint list: discovery or, if discovery doesn't answer or isn't
 * configured, the endpoint list in the gatherer's configuration.
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
     * Starts following discovery, if it is configured. The future succeeds once the first request
     * to discovery has been answered, has failed or has timed out. If no list was received by then,
     * the configured endpoint list is used: it may be out of date, but without a list no query can
     * be served.
     */
    Future<Void> start() {
        if (withoutDiscovery) {
            watch.stop();
        }
        Future<Void> subscribed = withoutDiscovery ? Future.succeededFuture() : watch.start();
        return subscribed.map(
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

    /** Records the receipt of the first endpoint list, if the observation contains it. */
    void observed(Observation observation) {
        if (observation instanceof Observation.EndpointsUpdated && !received) {
            received = true;
            LOG.info("ready: endpoint list received");
        }
    }

    /** Whether an endpoint list was received, from discovery or from the configuration. */
    boolean received() {
        return received;
    }

    /** Requests the endpoint list from discovery, on command of the decision policy. */
    void subscribe() {
        watch.poll();
    }

    /** Switches to discovery at another address. */
    void changeDiscoveryAddress(NodeConfig.Address discovery) {
        watch.changeAddress(discovery.host(), discovery.port());
    }

    void stop() {
        watch.stop();
    }
}
