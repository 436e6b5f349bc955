package sprucehold.node;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.logging.Level;
import java.util.logging.Logger;
import sprucehold.clients.ClientServer;
import sprucehold.coordinator.Attempt;
import sprucehold.coordinator.AttemptResult;
import sprucehold.coordinator.Commands;
import sprucehold.coordinator.Observation;
import sprucehold.coordinator.WriteProgress;
import sprucehold.shards.ShardServers;

/**
 * Executes the commands of the decision policy: cancels and sends attempts, answers clients, checks
 * the health of shard servers. A failed command doesn't stop the others, so that no client loses
 * its answer because of it.
 */
final class CommandExecutor {
    private static final Logger LOG = Logger.getLogger(CommandExecutor.class.getName());

    private final ShardServers shards;
    private final ClientServer clients;
    private final EndpointSource endpoints;
    private final NodeExtensions extensions;
    private final ConfigurationAdmin admin;
    private final Consumer<Observation> observer;

    /** Whether a command failed since the last public method was entered. */
    private boolean failed;

    /**
     * Creates an executor that uses the network components of one gatherer.
     *
     * @param admin counts answers for the health watch; null if configuration changes aren't
     *     enabled
     * @param observer receives the outcome of attempts that weren't permitted
     */
    CommandExecutor(
            ShardServers shards,
            ClientServer clients,
            EndpointSource endpoints,
            NodeExtensions extensions,
            ConfigurationAdmin admin,
            Consumer<Observation> observer) {
        this.shards = shards;
        this.clients = clients;
        this.endpoints = endpoints;
        this.extensions = extensions;
        this.admin = admin;
        this.observer = observer;
    }

    /** Executes all commands; returns whether none of them failed. */
    boolean execute(Commands commands) {
        failed = false;
        guarded(() -> shards.cancel(commands.attemptsToCancel()));
        guarded(() -> shards.send(permitted(commands.attemptsToSend())));
        guarded(() -> commands.consumed().forEach(extensions::consume));
        commands.replies().forEach(reply -> guarded(() -> reply(reply)));
        guarded(() -> shards.checkHealth(commands.serversToCheck()));
        commands.logMessages().forEach(LOG::info);
        if (commands.subscribe()) {
            guarded(endpoints::subscribe);
        }
        return !failed;
    }

    /**
     * Passes on the answers of shard servers that are confirmed; returns whether this succeeded.
     */
    boolean confirmAnswers() {
        failed = false;
        guarded(shards::confirmAnswers);
        return !failed;
    }

    /** Writes attempts that waited for their connection; returns whether this succeeded. */
    boolean writeWaiting() {
        failed = false;
        guarded(shards::writeWaiting);
        return !failed;
    }

    private void guarded(Runnable command) {
        try {
            command.run();
        } catch (RuntimeException e) {
            LOG.log(Level.SEVERE, "panic: a command failed", e);
            failed = true;
        }
    }

    private void reply(Commands.Reply reply) {
        if (admin != null) {
            admin.queryAnswered(reply.query(), reply.answer());
        }
        QueryLog.answered(reply);
        clients.answer(reply.query(), reply.answer());
    }

    /** Returns the attempts that the shared limits permit; reports the others as not written. */
    private List<Attempt> permitted(List<Attempt> attempts) {
        var permitted = new ArrayList<Attempt>();
        for (Attempt attempt : attempts) {
            if (extensions.permit(attempt)) {
                permitted.add(attempt);
            } else {
                observer.accept(
                        new Observation.AttemptEnded(
                                attempt, new AttemptResult.Cancelled(WriteProgress.NOT_WRITTEN)));
            }
        }
        return permitted;
    }
}
