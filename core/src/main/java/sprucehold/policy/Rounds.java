package sprucehold.policy;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import sprucehold.decision.Reason;

/**
 * Sends the parts of a query in rounds, like the range queries of Apache Cassandra. The completion
 * estimate determines the width of the first round. The parts that the query itself has completed
 * so far determine the width of later rounds.
 */
final class Rounds {
    /** Duration of the timer of a round, as a portion of the latency objective. */
    private static final double TIMER_PORTION = 0.5;

    private final DecisionContext context;
    private final Timers timers;
    private final ReplicaSelector replicas;
    private final AttemptSender sender;
    private final CompletionEstimate estimate;
    private final ResetGuard resetGuard;

    Rounds(
            DecisionContext context,
            Timers timers,
            ReplicaSelector replicas,
            AttemptSender sender,
            CompletionEstimate estimate,
            ResetGuard resetGuard) {
        this.context = context;
        this.timers = timers;
        this.replicas = replicas;
        this.sender = sender;
        this.estimate = estimate;
        this.resetGuard = resetGuard;
    }

    /** Sends the first round of a query's step. */
    void begin(ScheduledQuery query) {
        if (query.isSecondStep()) {
            query.setPosition(replicas.selectPosition(query));
        }
        int width = estimate.firstRoundWidth(query.neededParts());
        if (resetGuard.guards(query.tenant()) && !query.isSecondStep()) {
            width = 1;
        }
        send(query, Math.max(1, Math.min(query.parts().size(), width)), Reason.FIRST_ROUND);
    }

    private void send(ScheduledQuery query, int width, Reason reason) {
        var round = new Round();
        query.add(round);
        List<ScheduledPart> unsent = new ArrayList<>(query.unsentParts());
        // The parts that are left for a later round should be those that are likely to be late.
        unsent.sort(Comparator.comparingDouble(replicas::loadOfSelected));
        long completedOrPending =
                query.parts().stream()
                        .filter(part -> part.isCompleted() || part.hasPendingAttempt())
                        .count();
        for (ScheduledPart part : unsent.subList(0, Math.min(width, unsent.size()))) {
            ShardServerState server = replicas.select(part);
            // Parts beyond the number needed don't queue at busy servers, because other queries may
            // depend on these servers, for example if a replica group has lost servers. The parts
            // wait for a later round.
            if (isBusy(server, query) && completedOrPending >= query.neededParts()) {
                break;
            }
            round.add(part);
            sender.send(part, server, reason);
            completedOrPending++;
        }
        timers.schedule(
                context.nowMs() + query.queryClass().latencyObjectiveMs() * TIMER_PORTION,
                () -> onTimer(query, round));
    }

    /**
     * Returns whether a part has no server, or other queries use the server and half of its
     * concurrency limit is reached.
     */
    private static boolean isBusy(ShardServerState server, ScheduledQuery query) {
        return server == null
                || (server.pendingOfOthers(query) > 0
                        && server.pendingAttempts().size()
                                >= server.concurrencyLimit().value() / 2);
    }

    private void onTimer(ScheduledQuery query, Round round) {
        round.expireTimer();
        estimate.onRoundTimer(round);
        end(query, round);
    }

    /** Ends a round, and sends the next one if unsent parts are left. */
    void end(ScheduledQuery query, Round round) {
        List<ScheduledPart> unsent = query.unsentParts();
        if (round.isOver() || query.isOver() || unsent.isEmpty()) {
            return;
        }
        round.end();
        if (round.hasCompletedPart()) {
            send(query, laterRoundWidth(query, unsent.size()), Reason.LATER_ROUND);
        } else {
            send(query, unsent.size(), Reason.ROUND_AFTER_EMPTY);
        }
    }

    private static int laterRoundWidth(ScheduledQuery query, int unsent) {
        int completed = query.completedParts();
        double completedShare = (double) completed / (query.parts().size() - unsent);
        long wanted = Math.round((query.neededParts() - completed) / completedShare);
        return (int) Math.max(1, Math.min(unsent, wanted));
    }
}
