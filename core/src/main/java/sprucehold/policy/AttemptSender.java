package sprucehold.policy;

import java.util.ArrayList;
import java.util.List;
import sprucehold.decision.Command;
import sprucehold.decision.Reason;
import sprucehold.decision.SkippedReplica;

/** Sends and cancels attempts, and queues parts that wait for a replica. */
final class AttemptSender {
    private final DecisionContext context;
    private final CommandList commands;
    private final ReplicaSelector replicas;
    private final AttemptRules rules;
    private final RetryBudgetWindow retryBudget;
    private final HedgeBudget hedgeBudget;
    private final SlowStart slowStart;
    private final LateDetector lateDetector;
    private final List<ScheduledPart> waitingParts = new ArrayList<>();

    AttemptSender(
            DecisionContext context,
            CommandList commands,
            ReplicaSelector replicas,
            AttemptRules rules,
            RetryBudgetWindow retryBudget,
            HedgeBudget hedgeBudget,
            SlowStart slowStart,
            LateDetector lateDetector) {
        this.context = context;
        this.commands = commands;
        this.replicas = replicas;
        this.rules = rules;
        this.retryBudget = retryBudget;
        this.hedgeBudget = hedgeBudget;
        this.slowStart = slowStart;
        this.lateDetector = lateDetector;
    }

    /**
     * Sends an attempt of a part.
     *
     * @param server the server to send to, or null if the part has to wait until a replica is
     *     available
     */
    void send(ScheduledPart part, ShardServerState server, Reason reason) {
        if (server == null) {
            waitingParts.add(part);
            return;
        }
        ScheduledQuery query = part.query();
        var attempt = new PartAttempt(part, server, context.nowMs());
        List<SkippedReplica> skipped = replicas.skipped(part, server);
        if (attempt.number() > 0) {
            retryBudget.onRetry();
        } else {
            hedgeBudget.onFirstAttempt(query.parts().size());
        }
        attempt.begin();
        slowStart.onSend(server, query.queryClass());
        commands.add(
                new Command.SendAttempt(
                        part.id(),
                        server.id(),
                        query.endsAtMs() - context.nowMs(),
                        reason,
                        query.position(),
                        skipped));
        lateDetector.watch(attempt);
    }

    /**
     * Sends a part again after all its attempts have ended, if another attempt is allowed. A part
     * that is blocked by a connection reset is queued.
     */
    void retry(ScheduledPart part) {
        if (rules.isBlockedByReset(part)) {
            waitingParts.add(part);
        } else if (rules.mayAttempt(part)) {
            send(part, replicas.selectLeastLoaded(part), reasonOfNext(part));
        }
    }

    boolean hasWaitingParts() {
        return !waitingParts.isEmpty();
    }

    /** Sends the waiting parts for which a replica is now available. */
    void sendWaitingParts() {
        List<ScheduledPart> parts = List.copyOf(waitingParts);
        waitingParts.clear();
        for (ScheduledPart part : parts) {
            if (rules.isBlockedByReset(part) && !part.query().isOver()) {
                waitingParts.add(part);
            } else if (rules.mayAttempt(part) && !part.hasPendingAttempt()) {
                ShardServerState server =
                        part.attempts().isEmpty()
                                ? replicas.select(part)
                                : replicas.selectLeastLoaded(part);
                send(part, server, reasonOfNext(part));
            }
        }
    }

    private static Reason reasonOfNext(ScheduledPart part) {
        if (part.attempts().isEmpty()) {
            return Reason.REPLICA_AVAILABLE;
        }
        return part.mayHaveRun() ? Reason.RETRY : Reason.RETRY_NOT_RUN;
    }

    /** Cancels the pending attempts of a part if the deployment allows cancellation. */
    void cancel(ScheduledPart part, Reason reason) {
        for (PartAttempt attempt : part.attempts()) {
            if (attempt.isPending()
                    && !attempt.isCancelled()
                    && context.deployment().limits().cancellation()) {
                attempt.markCancelled();
                commands.add(new Command.CancelAttempt(part.id(), attempt.number(), reason));
            }
        }
    }
}
