package sprucehold.coordinator;

import java.util.ArrayList;
import java.util.List;
import sprucehold.decision.Command;
import sprucehold.decision.SharedLimit;

/** Collects what the network code has to do until the coordinator's call returns. */
final class CommandBuffer {
    private List<Attempt> cancel = new ArrayList<>();
    private List<Attempt> send = new ArrayList<>();
    private List<Commands.Reply> replies = new ArrayList<>();
    private List<ShardServer> healthChecks = new ArrayList<>();
    private List<String> logMessages = new ArrayList<>();
    private List<Command.ConsumeAllowance> consumed = new ArrayList<>();
    private boolean subscribe;

    /** What the attempt that follows consumes of shared limits; kept over calls. */
    private final List<Command.ConsumeAllowance> consumedByNextAttempt = new ArrayList<>();

    void send(Attempt attempt) {
        send.add(attempt);
    }

    /** Takes back an attempt that isn't out yet; false if it is none. */
    boolean unsend(Attempt attempt) {
        return send.remove(attempt);
    }

    /** A copy of what is to be sent. */
    List<Attempt> unsent() {
        return List.copyOf(send);
    }

    void cancel(Attempt attempt) {
        if (!cancel.contains(attempt)) {
            cancel.add(attempt);
        }
    }

    void reply(Commands.Reply reply) {
        replies.add(reply);
    }

    void checkHealth(ShardServer server) {
        healthChecks.add(server);
    }

    void subscribe() {
        subscribe = true;
    }

    void log(String message) {
        logMessages.add(message);
    }

    /** A tenant's quota is consumed by the query; any other limit by the attempt that follows. */
    void consume(Command.ConsumeAllowance allowance) {
        boolean byQuery = allowance.limit().kind() == SharedLimit.Kind.TENANT_QUOTA;
        (byQuery ? consumed : consumedByNextAttempt).add(allowance);
    }

    /** Hands over what the attempt that is made now consumes. */
    List<Command.ConsumeAllowance> takeConsumedByNextAttempt() {
        List<Command.ConsumeAllowance> taken = List.copyOf(consumedByNextAttempt);
        consumedByNextAttempt.clear();
        return taken;
    }

    /** Hands over all that was collected and begins anew. */
    Commands take(double nextTickAtMs) {
        var commands =
                new Commands(
                        cancel,
                        send,
                        replies,
                        healthChecks,
                        consumed,
                        subscribe,
                        logMessages,
                        nextTickAtMs);
        cancel = new ArrayList<>();
        send = new ArrayList<>();
        replies = new ArrayList<>();
        healthChecks = new ArrayList<>();
        consumed = new ArrayList<>();
        subscribe = false;
        logMessages = new ArrayList<>();
        return commands;
    }
}
