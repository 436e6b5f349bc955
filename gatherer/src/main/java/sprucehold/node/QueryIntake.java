package sprucehold.node;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import sprucehold.clients.ConnectionArrival;
import sprucehold.clients.QueryHandler;
import sprucehold.coordinator.Answer;
import sprucehold.coordinator.Commands;
import sprucehold.coordinator.Observation;
import sprucehold.coordinator.Query;
import sprucehold.coordinator.QueryCoordinator;
import sprucehold.decision.QueryClass;

/**
 * Receives queries from clients and submits them to the query coordinator, unless the drain has
 * reached the phase in which new queries are rejected.
 */
final class QueryIntake implements QueryHandler {
    private final Clock clock;
    private final QueryCoordinator coordinator;
    private final DecisionLoop decisions;
    private final EventLoopMonitor monitor;
    private final EndpointSource endpoints;
    private final DrainStatus drain;
    private final NodeExtensions extensions;
    private final ConfigurationAdmin admin;
    private final Set<String> queryClasses;
    private final Consumer<Observation> observer;
    private final BiConsumer<Query, Answer> responder;

    /** Ids of queries that wait to be submitted to the query coordinator. */
    private final Set<String> waitingIds = new HashSet<>();

    private long received;

    /**
     * Creates the intake of one gatherer.
     *
     * @param admin applies configuration changes while serving; null if these aren't enabled
     * @param responder sends answers that need no decision
     */
    QueryIntake(
            NodeConfig config,
            Clock clock,
            QueryCoordinator coordinator,
            DecisionLoop decisions,
            EventLoopMonitor monitor,
            EndpointSource endpoints,
            DrainStatus drain,
            NodeExtensions extensions,
            ConfigurationAdmin admin,
            Consumer<Observation> observer,
            BiConsumer<Query, Answer> responder) {
        this.clock = clock;
        this.coordinator = coordinator;
        this.decisions = decisions;
        this.monitor = monitor;
        this.endpoints = endpoints;
        this.drain = drain;
        this.extensions = extensions;
        this.admin = admin;
        this.observer = observer;
        this.responder = responder;
        this.queryClasses =
                config.settings().deployment().queryClasses().stream()
                        .map(QueryClass::name)
                        .collect(Collectors.toSet());
    }

    @Override
    public boolean isReady() {
        return endpoints.received() && !drain.started();
    }

    @Override
    public boolean isQueryClass(String name) {
        return admin == null ? queryClasses.contains(name) : admin.isQueryClass(name);
    }

    @Override
    public boolean isOpen(Query query) {
        return waitingIds.contains(query.id()) || coordinator.isOpen(query);
    }

    @Override
    public boolean isSpent(Query query) {
        return coordinator.isSpent(query);
    }

    @Override
    public double earliestArrivalMs(double nowMs, ConnectionArrival arrival) {
        return monitor.earliestArrivalMs(nowMs, arrival);
    }

    @Override
    public void receive(Query query) {
        received++;
        QueryLog.received(query);
        if (drain.rejectsQueries()) {
            responder.accept(query, new Answer.Rejected(0));
            return;
        }
        double drainTimeLeftMs = drain.timeLeftMs(clock.now());
        waitingIds.add(query.id());
        extensions.queryReceived(query);
        if (admin != null) {
            admin.queryReceived(query);
        }
        double receivedAtMs = clock.now();
        decisions.call(() -> submit(query, drainTimeLeftMs, receivedAtMs));
    }

    /**
     * Submits a query to the coordinator. If its client has disconnected since the receipt, the
     * query is dropped. The time since the receipt is subtracted from the time left to the client.
     */
    private Commands submit(Query query, double drainTimeLeftMs, double receivedAtMs) {
        double nowMs = clock.now();
        if (!waitingIds.remove(query.id())) {
            return coordinator.observe(nowMs, List.of());
        }
        double timeLeftMs = Math.min(drainTimeLeftMs, query.timeLeftMs());
        return coordinator.submit(nowMs, query, timeLeftMs - (nowMs - receivedAtMs));
    }

    @Override
    public void disconnected(Query query) {
        QueryLog.clientDisconnected(query);
        if (admin != null) {
            admin.clientDisconnected(query);
        }
        if (!waitingIds.remove(query.id())) {
            observer.accept(new Observation.ClientDisconnected(query));
        }
    }

    /** Returns the number of queries without a final answer. */
    int openQueries() {
        return coordinator.openQueryCount() + waitingIds.size();
    }

    /** Returns the number of queries that were received, including rejected ones. */
    long received() {
        return received;
    }
}
