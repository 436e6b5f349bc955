package sprucehold.policy;

import java.util.List;
import sprucehold.decision.Command;
import sprucehold.decision.QueryClass;
import sprucehold.decision.Reason;

/** Decides when a query is answered, rejected or failed; each gets exactly one final answer. */
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

    /** After a change in a query's parts: answers it, ends it or its round, or lets it go on. */
    void settle(ScheduledQuery query) {
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
        double possible = possibleCoverage(query, anyPending);
        if (possible < query.minimumCoverage() - ScheduledQuery.COVERAGE_TOLERANCE) {
            end(query, Reason.BELOW_MINIMUM_COVERAGE);
        } else if (possible <= coverage) {
            end(query, Reason.NOTHING_PENDING);
        } else if (query.lastRound().parts().stream().allMatch(this::isSettled)) {
            rounds.end(query, query.lastRound());
        }
    }

    private static boolean hadConnectionReset(ScheduledQuery query) {
        return query.parts().stream().anyMatch(ScheduledPart::hadConnectionReset);
    }

    /** The coverage of what is completed, pending or may still be sent. */
    private double possibleCoverage(ScheduledQuery query, boolean anyPending) {
        return query.parts().stream()
                .filter(
                        part ->
                                part.isCompleted()
                                        || part.hasPendingAttempt()
                                        || rules.mayAttempt(part)
                                        || (anyPending && rules.isHeldBack(part)))
                .mapToDouble(ScheduledPart::weight)
                .sum();
    }

    private boolean isSettled(ScheduledPart part) {
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
        firstStep.forEach(openQueries::forgetIfDone);
        query.beginSecondStep();
    }

    /** Ends a query with what is completed, if that may be an answer, or else with none. */
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

    /** Answers a query at its latency objective, if what is completed may be the answer. */
    void endAtObjective(ScheduledQuery query) {
        if (mayAnswer(query)) {
            end(query, Reason.LATENCY_OBJECTIVE);
        }
    }

    /** Whether what is completed may be the final answer; a first step's never is one. */
    private static boolean mayAnswer(ScheduledQuery query) {
        return !query.isOver()
                && (query.isSecondStep() || query.queryClass().secondStepParts() == 0)
                && !query.parts().isEmpty()
                && query.coverage() >= query.minimumCoverage() - ScheduledQuery.COVERAGE_TOLERANCE;
    }

    /** Whether asking again is harmless: the query may run again, or nothing of it ever ran. */
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

    /** Closes a query, and cancels what is pending for it. */
    void close(ScheduledQuery query, Reason reason) {
        query.markOver();
        openQueries.remove(query);
        query.parts().forEach(part -> sender.cancel(part, reason));
        query.parts().forEach(openQueries::forgetIfDone);
    }
}
