package sprucehold.coordinator;

import java.util.ArrayList;
import java.util.List;
import sprucehold.decision.Command;
import sprucehold.decision.SharedLimit;

/** Collects the commands for the network code until the current call of the coordinator returns. */
final class CommandBuffer {
    private List<Attempt> attemptsToCancel = new ArrayList<>();
    private List<Attempt> attemptsToSend = new ArrayList<>();
    private List<Commands.Reply> replies = new ArrayList<>();
    private List<ShardServer> serversToCheck = new ArrayList<>();
    private List<String> logMessages = new ArrayList<>();
    private List<Command.ConsumeAllowance> consumed = new ArrayList<>();
    private boolean subscribe;

    /**
     * Units of shared limits that the next attempt consumes. They are kept across calls of the
     * coordinator.
     */
    private final List<Command.ConsumeAllowance> consumedByNextAttempt = new ArrayList<>();

    void send(Attempt attempt) {
        attemptsToSend.add(attempt);
    }

    /**
     * Removes an attempt that was not yet handed to the network code. Returns false if the buffer
     * does not contain the attempt.
     */
    boolean removeUnsent(Attempt attempt) {
        return attemptsToSend.remove(attempt);
    }

    /** Returns a copy of the list of attempts to send. */
    List<Attempt> unsent() {
        return List.copyOf(attemptsToSend);
    }

    void cancel(Attempt attempt) {
        if (!attemptsToCancel.contains(attempt)) {
            attemptsToCancel.add(attempt);
        }
    }

    void reply(Commands.Reply reply) {
        replies.add(reply);
    }

    void checkHealth(ShardServer server) {
        serversToCheck.add(server);
    }

    void subscribe() {
        subscribe = true;
    }

    void log(String message) {
        logMessages.add(message);
    }

    /**
     * Adds consumed units of a shared limit. A tenant's quota is consumed by the query, any other
     * limit by the next attempt.
     */
    void addConsumed(Command.ConsumeAllowance allowance) {
        boolean byQuery = allowance.limit().kind() == SharedLimit.Kind.TENANT_QUOTA;
        (byQuery ? consumed : consumedByNextAttempt).add(allowance);
    }

    /** Returns and clears the units that the attempt being created consumes. */
    List<Command.ConsumeAllowance> takeConsumedByNextAttempt() {
        List<Command.ConsumeAllowance> consumedByAttempt = List.copyOf(consumedByNextAttempt);
        consumedByNextAttempt.clear();
        return consumedByAttempt;
    }

    /** Returns all collected commands and clears the buffer. */
    Commands takeAll(double nextTickAtMs) {
        var commands =
                new Commands(
                        attemptsToCancel,
                        attemptsToSend,
                        replies,
                        serversToCheck,
                        consumed,
                        subscribe,
                        logMessages,
                        nextTickAtMs);
        attemptsToCancel = new ArrayList<>();
        attemptsToSend = new ArrayList<>();
        replies = new ArrayList<>();
        serversToCheck = new ArrayList<>();
        consumed = new ArrayList<>();
        subscribe = false;
        logMessages = new ArrayList<>();
        return commands;
    }
}
