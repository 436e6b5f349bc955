package sprucehold.node;

import java.util.List;
import sprucehold.clients.StubClient;
import sprucehold.coordinator.Commands;
import sprucehold.coordinator.EndpointUpdate;
import sprucehold.coordinator.Observation;
import sprucehold.coordinator.QueryCoordinator;
import sprucehold.decision.DecisionPolicy;
import sprucehold.decision.Deployment;
import sprucehold.shards.StubShardServers;

/**
 * Warm-up that runs queries through the decision policy and the codecs without sockets, on a
 * simulated clock. It is used on platforms where a process can't open Unix domain sockets to
 * itself. Without it the first query after a start would run interpreted and stall the event loop.
 */
final class StubWarmUp {
    /**
     * Number of queries. After the parts of two queries of {@link #MAX_PARTS} parts, most methods
     * that are called for each part are compiled.
     */
    private static final int QUERIES = 3;

    private static final int MAX_PARTS = 100;
    private static final int FEW_PARTS = 5;

    /** Maximum number of steps of a query; a query that isn't answered by then is abandoned. */
    private static final int MAX_STEPS = 8;

    /** Simulated time from sending attempts to their answers, in milliseconds. */
    private static final double STEP_MS = 20;

    private final QueryCoordinator coordinator;
    private final StubClient clients;
    private final StubShardServers servers = new StubShardServers();
    private final WarmUpQueries queries;
    private double nowMs = 1;
    private int answered;

    private StubWarmUp(NodeConfig config, DecisionPolicy.Factory policyFactory) {
        Deployment deployment = config.settings().deployment();
        this.coordinator =
                new QueryCoordinator(policyFactory.create(config.seed(), deployment), deployment);
        this.clients = new StubClient(config.settings().shards());
        this.queries = new WarmUpQueries(config);
    }

    /** Runs the warm-up and returns the number of answered queries. */
    static int run(NodeConfig config, DecisionPolicy.Factory policyFactory) {
        var warmUp = new StubWarmUp(config, policyFactory);
        warmUp.receive(endpoints(config.settings().deployment()));
        for (int i = 0; i < QUERIES; i++) {
            warmUp.runQuery(i % 2 == 0 ? MAX_PARTS : FEW_PARTS);
        }
        return warmUp.answered;
    }

    private static List<EndpointUpdate> endpoints(Deployment deployment) {
        return WarmUpQueries.endpoints(
                deployment.layout().replicaGroups(), "127.0.0.1:1", deployment.zone());
    }

    private void receive(List<EndpointUpdate> endpoints) {
        write(
                coordinator.observe(
                        nowMs, List.of(new Observation.EndpointsUpdated(true, endpoints))));
    }

    private void runQuery(int maxParts) {
        Commands commands = coordinator.submit(nowMs, clients.read(queries.next(maxParts)));
        write(commands);
        for (int step = 0; step < MAX_STEPS && coordinator.openQueryCount() > 0; step++) {
            nowMs += STEP_MS;
            List<Observation> observations =
                    servers.simulateAnswers(commands.attemptsToSend(), nowMs);
            commands =
                    observations.isEmpty()
                            ? coordinator.tick(nowMs)
                            : coordinator.observe(nowMs, observations);
            write(commands);
        }
    }

    private void write(Commands commands) {
        commands.replies().forEach(reply -> clients.write(reply.answer()));
        answered += commands.replies().size();
    }
}
