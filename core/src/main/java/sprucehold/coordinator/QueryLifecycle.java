package sprucehold.coordinator;

import java.util.List;
import java.util.Queue;
import java.util.logging.Logger;
import sprucehold.decision.AttemptOutcome;
import sprucehold.decision.Command;
import sprucehold.decision.Event;
import sprucehold.decision.LoadReport;
import sprucehold.decision.Reason;

/**
 * State transitions of queries and attempts. Each end of an attempt adds one event for the policy,
 * and each reply closes its query.
 */
final class QueryLifecycle {
    private static final Logger LOG = Logger.getLogger(QueryLifecycle.class.getName());

    private final OpenQueries openQueries = new OpenQueries();
    private final AttemptTimeouts timeouts = new AttemptTimeouts();
    private final EndpointDirectory endpoints;
    private final CommandBuffer commands;
    private final Queue<Event> events;
    private double nowMs;

    /**
     * @param endpoints shard servers to which attempts can be sent
     * @param commands collects the commands for the network code
     * @param events collects the events for the policy
     */
    QueryLifecycle(EndpointDirectory endpoints, CommandBuffer commands, Queue<Event> events) {
        this.endpoints = endpoints;
        this.commands = commands;
        this.events = events;
    }

    /** Sets the current time, in milliseconds. */
    void advanceTo(double newNowMs) {
        nowMs = newNowMs;
    }

    /** Returns the open queries and their parts. */
    OpenQueries openQueries() {
        return openQueries;
    }

    /**
     * Returns the time at which the next deadline or timeout expires; infinite if there is none.
     */
    double nextExpiryAtMs() {
        return Math.min(openQueries.nextDeadlineAtMs(), timeouts.nextAtMs());
    }

    /** Returns the sum of the sizes of all collections, for tests that look for leaks. */
    int trackedItems() {
        return openQueries.trackedItems() + timeouts.size();
    }

    /** Processes the end of an attempt. Any further result of the same attempt is ignored. */
    void attemptEnded(Attempt attempt, AttemptResult result) {
        if (!attempt.isPending()) {
            return;
        }
        OpenPart part = attempt.part();
        if (result instanceof AttemptResult.Completed completed
                && !part.query.isClosed()
                && part.value == null) {
            part.value = completed.value();
            part.completedBy = attempt;
        }
        AttemptOutcome outcome = AttemptOutcomes.of(result, attempt.isTimedOut());
        end(attempt, outcome, result.loadReport());
    }

    /**
     * Fails the query of an attempt whose value is wrong, if the query is open and would be
     * answered with this value. The policy has taken the part for completed and can't repeat it.
     */
    // Compares by identity: attempts have no other equality.
    @SuppressWarnings("ReferenceEquality")
    void answerDisproved(Attempt attempt) {
        OpenPart part = attempt.part();
        if (!part.query.isClosed() && part.completedBy == attempt) {
            LOG.warning("query failed: a value of it was malformed");
            fail(part.query);
        }
    }

    /** Closes the query of a client that disconnected. */
    // Compares by identity: an equal query may belong to another client that is still waiting.
    @SuppressWarnings("ReferenceEquality")
    void clientDisconnected(Query query) {
        OpenQuery openQuery = openQueries.find(query.id());
        if (openQuery != null && openQuery.query == query) {
            close(openQuery);
            events.add(new Event.ClientDisconnected(query.id()));
        }
    }

    /** Cancels the attempts whose timeout has expired. */
    void cancelTimedOut() {
        for (Attempt attempt = timeouts.pollTimedOut(nowMs);
                attempt != null;
                attempt = timeouts.pollTimedOut(nowMs)) {
            attempt.markTimedOut();
            cancel(attempt);
        }
    }

    /**
     * Fails the queries whose deadline has passed. Normally the policy ends each query before its
     * deadline, but queries may be left over after the policy has failed.
     */
    void failPastDeadline() {
        for (OpenQuery openQuery = openQueries.firstPastDeadline(nowMs);
                openQuery != null;
                openQuery = openQueries.firstPastDeadline(nowMs)) {
            LOG.warning("query failed: no answer by its deadline");
            fail(openQuery);
        }
    }

    /** Creates an attempt. An attempt that can't be sent ends at once with outcome NEVER_SENT. */
    void send(Command.SendAttempt command) {
        OpenPart part = openQueries.findPart(command.partId());
        List<Command.ConsumeAllowance> consumed = commands.takeConsumedByNextAttempt();
        if (part == null) {
            return;
        }
        ShardServer server = endpoints.find(command.server());
        var attempt = new Attempt(part, server, nowMs, command, consumed);
        part.attempts.add(attempt);
        if (part.query.isClosed() || command.timeoutMs() <= 0 || server == null) {
            end(attempt, AttemptOutcome.NEVER_SENT, null);
        } else {
            timeouts.add(attempt);
            commands.send(attempt);
        }
    }

    /** Cancels an attempt. An attempt that was never created ends with outcome NEVER_SENT. */
    void cancel(Command.CancelAttempt command) {
        OpenPart part = openQueries.findPart(command.partId());
        int number = command.attemptNumber();
        if (part != null && number < part.attempts.size()) {
            cancel(part.attempts.get(number));
        } else {
            events.add(
                    new Event.AttemptEnded(
                            command.partId(), number, AttemptOutcome.NEVER_SENT, 0, null));
        }
    }

    private void cancel(Attempt attempt) {
        if (!attempt.isPending()) {
            return;
        }
        if (commands.removeUnsent(attempt)) {
            end(attempt, AttemptOutcome.NEVER_SENT, null);
        } else {
            commands.cancel(attempt);
        }
    }

    private void end(Attempt attempt, AttemptOutcome outcome, LoadReport load) {
        OpenPart part = attempt.part();
        attempt.end(outcome);
        timeouts.remove(attempt);
        events.add(
                new Event.AttemptEnded(
                        part.id, attempt.number(), outcome, attempt.ageMs(nowMs), load));
        openQueries.removeIfDone(part);
    }

    /** Answers a query with the values of the parts completed so far. */
    void answer(Command.AnswerQuery command) {
        OpenQuery openQuery = openQueries.find(command.queryId());
        if (openQuery == null) {
            return;
        }
        List<Answer.Value> values =
                openQuery.parts.stream()
                        .filter(part -> part.value != null)
                        .map(part -> new Answer.Value(part.shard, part.value))
                        .toList();
        reply(openQuery, new Answer.Completed(command.complete(), values), command.reason());
    }

    /** Rejects a query. */
    void reject(Command.RejectQuery command) {
        OpenQuery openQuery = openQueries.find(command.queryId());
        reply(openQuery, new Answer.Rejected(command.retryAfterMs()), command.reason());
    }

    /** Fails a query by command of the policy. */
    void fail(Command.FailQuery command) {
        reply(openQueries.find(command.queryId()), new Answer.Failed(), command.reason());
    }

    private void reply(OpenQuery openQuery, Answer answer, Reason reason) {
        if (openQuery != null) {
            commands.reply(new Commands.Reply(openQuery.query, answer, reason));
            close(openQuery);
        }
    }

    /**
     * Fails a query that the policy did not end, and cancels its attempts. The policy receives
     * {@link Event.ClientDisconnected}, so that it closes the query as well.
     */
    void fail(OpenQuery openQuery) {
        reply(openQuery, new Answer.Failed(), Reason.UNSTATED);
        openQuery.parts.forEach(part -> List.copyOf(part.attempts).forEach(this::cancel));
        events.add(new Event.ClientDisconnected(openQuery.query.id()));
    }

    private void close(OpenQuery openQuery) {
        openQueries.close(openQuery);
        for (Attempt attempt : commands.unsent()) {
            if (attempt.part().query == openQuery) {
                cancel(attempt);
            }
        }
    }
}
