package sprucehold.policy;

import java.util.List;
import sprucehold.decision.Command;
import sprucehold.decision.QueryClass;
import sprucehold.decision.Reason;

/**
 * Decides when a query is answered, rejected or failed. Each query gets exactly one final answer.
 */
final class Completion {
    private final DecisionContext context;
    private final CommandList commands;
    private final OpenQueries openQueries;
    private final AttemptRules rules;
    private final AttemptSender sender;
    private final Rounds rounds;
    private final ResetGuard resetGuard;

    Completion(
            DecisionContext context,
            CommandList commands,
            OpenQueries openQueries,
            AttemptRules rules,
            AttemptSender sender,
            Rounds rounds,
            ResetGuard resetGuard) {
        this.context = context;
        this.commands = commands;
        this.openQueries = openQueries;
        this.rules = rules;
        this.sender = sender;
        this.rounds = rounds;
        this.resetGuard = resetGuard;
    }

    /**
     * Evaluates a query after a change in its parts: answers the query, ends the query or its
     * current round, or lets the query continue.
     */
    void evaluate(ScheduledQuery query) {
        double coverage = query.coverage();
        if (coverage >= query.completeCoverage() - ScheduledQuery.COVERAGE_TOLERANCE) {
            answerComplete(query);
            return;
        }
        boolean anyPending = query.parts().stream().anyMatch(ScheduledPart::hasPendingAttempt);
        if (coverage == 0 && !anyPending && hadConnectionReset(query)) {
            if (query.parts().size() > 1) {
                resetGuard.onAllConnectionsReset(query.tenant());
            }
            end(query, Reason.ALL_CONNECTIONS_RESET);
            return;
        }
        double reachableCoverage = maxReachableCoverage(query, anyPending);
        if (reachableCoverage < query.minimumCoverage() - ScheduledQuery.COVERAGE_TOLERANCE) {
            end(query, Reason.BELOW_MINIMUM_COVERAGE);
        } else if (reachableCoverage <= coverage) {
            end(query, Reason.NOTHING_PENDING);
        } else if (query.lastRound().parts().stream().allMatch(this::isFinished)) {
            rounds.end(query, query.lastRound());
        }
    }

    private static boolean hadConnectionReset(ScheduledQuery query) {
        return query.parts().stream().anyMatch(ScheduledPart::hadConnectionReset);
    }

    /** Returns the coverage of the parts that are completed, pending or may still be sent. */
    private double maxReachableCoverage(ScheduledQuery query, boolean anyPending) {
        return query.parts().stream()
                .filter(
                        part ->
                                part.isCompleted()
                                        || part.hasPendingAttempt()
                                        || rules.mayAttempt(part)
                                        || (anyPending && rules.isBlockedByReset(part)))
                .mapToDouble(ScheduledPart::weight)
                .sum();
    }

    private boolean isFinished(ScheduledPart part) {
        return part.isCompleted() || (!part.hasPendingAttempt() && !rules.mayAttempt(part));
    }

    private void answerComplete(ScheduledQuery query) {
        commands.add(new Command.AnswerQuery(query.id(), true, Reason.COMPLETE));
        if (query.isSecondStep() || query.queryClass().secondStepParts() <= 0) {
            close(query, Reason.QUERY_OVER);
            return;
        }
        query.markSecondStep();
        List<ScheduledPart> firstStep = query.parts();
        firstStep.forEach(part -> sender.cancel(part, Reason.NEXT_STEP));
        firstStep.forEach(ScheduledPart::markStepOver);
        firstStep.forEach(openQueries::removeIfDone);
        query.beginSecondStep();
    }

    /**
     * Ends a query. Answers it with the completed parts if they suffice for a final answer, and
     * otherwise rejects or fails it.
     */
    void end(ScheduledQuery query, Reason reason) {
        if (query.isOver()) {
            return;
        }
        if (mayAnswer(query)) {
            commands.add(new Command.AnswerQuery(query.id(), false, reason));
            close(query, Reason.QUERY_OVER);
        } else if (isRejectable(query)) {
            reject(query, reason);
        } else {
            commands.add(new Command.FailQuery(query.id(), reason));
            close(query, Reason.QUERY_OVER);
        }
    }

    /**
     * Answers a query at its latency objective if the completed parts suffice for a final answer.
     */
    void endAtObjective(ScheduledQuery query) {
        if (mayAnswer(query)) {
            end(query, Reason.LATENCY_OBJECTIVE);
        }
    }

    /**
     * Returns whether the completed parts suffice for a final answer. The first of two steps never
     * has a final answer.
     */
    private static boolean mayAnswer(ScheduledQuery query) {
        return !query.isOver()
                && (query.isSecondStep() || query.queryClass().secondStepParts() == 0)
                && !query.parts().isEmpty()
                && query.coverage() >= query.minimumCoverage() - ScheduledQuery.COVERAGE_TOLERANCE;
    }

    /**
     * Returns whether the client may safely repeat the query. This holds if the query may run more
     * than once, or if no part of it can have run.
     */
    private static boolean isRejectable(ScheduledQuery query) {
        return query.queryClass().idempotence() != QueryClass.Idempotence.NON_IDEMPOTENT
                || (!query.isSecondStep()
                        && query.parts().stream()
                                .noneMatch(part -> part.mayHaveRun() || part.hasPendingAttempt()));
    }

    void reject(ScheduledQuery query, Reason reason) {
        double retryAfterMs = context.deployment().limits().maxRetryAfterMs();
        commands.add(new Command.RejectQuery(query.id(), retryAfterMs, reason));
        close(query, Reason.QUERY_OVER);
    }

    /** Closes a query and cancels its pending attempts. */
    void close(ScheduledQuery query, Reason reason) {
        query.markOver();
        openQueries.remove(query);
        query.parts().forEach(part -> sender.cancel(part, reason));
        query.parts().forEach(openQueries::removeIfDone);
    }
}
