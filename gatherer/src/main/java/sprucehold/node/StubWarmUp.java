package sprucehold.node;

import java.util.ArrayList;
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
 * Runs scans through decisions and codecs without any socket, on a clock of its own. For platforms
 * that grant a process no sockets within itself: there the first scan after a start, interpreted,
 * held the loop for half a second, and others were answered late.
 */
final class StubWarmUp {
    /**
     * Two wide scans make two hundred parts, after which most of what is called for each is
     * compiled; more starts later.
     */
    private static final int QUERIES = 3;

    /** The widest scans that are rehearsed. */
    private static final int MAX_PARTS = 100;

    private StubWarmUp() {}

    /** Returns how many scans were answered. */
    static int run(NodeConfig config, DecisionPolicy.Factory factory) {
        Deployment deployment = config.settings().deployment();
        var coordinator =
                new QueryCoordinator(factory.start(config.seed(), deployment), deployment);
        var clients = new StubClient(config.settings().shards());
        var servers = new StubShardServers();
        var scans = new WarmUpQueries(config);
        var list = new ArrayList<EndpointUpdate>();
        for (int cell = 0; cell < deployment.layout().replicaGroups(); cell++) {
            for (String holder : List.of("a", "b")) {
                list.add(
                        new EndpointUpdate(
                                holder + cell,
                                "127.0.0.1:1",
                                cell,
                                deployment.zone(),
                                0,
                                EndpointUpdate.State.RUNNING));
            }
        }
        double now = 1;
        int answered =
                writeAnswers(
                        coordinator.observe(
                                now, List.of(new Observation.EndpointsUpdated(true, list))),
                        clients);
        for (int i = 0; i < QUERIES; i++) {
            Commands commands =
                    coordinator.submit(now, clients.read(scans.next(i % 2 == 0 ? MAX_PARTS : 5)));
            answered += writeAnswers(commands, clients);
            // A scan that takes longer than so many rounds is left to its time.
            for (int round = 0; round < 8 && coordinator.openQueries() > 0; round++) {
                now += 20;
                List<Observation> reports = servers.answered(commands.send(), now);
                commands =
                        reports.isEmpty()
                                ? coordinator.tick(now)
                                : coordinator.observe(now, reports);
                answered += writeAnswers(commands, clients);
            }
        }
        return answered;
    }

    private static int writeAnswers(Commands commands, StubClient clients) {
        commands.replies().forEach(reply -> clients.write(reply.answer()));
        return commands.replies().size();
    }
}
