package sprucehold.trace.correlation;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import sprucehold.decision.Command;
import sprucehold.decision.Event;
import sprucehold.trace.event.Item;

/**
 * Assigns each item of a trace to its query. The items of a source must be added in the order of
 * that source.
 */
public final class QueryCorrelator {
    /**
     * Largest number of queries kept in memory per source; beyond it, the oldest query is removed.
     * The bound protects against traces with gaps, in which the end of a query may be missing. A
     * gatherer with 1,024 file descriptors has far fewer open queries.
     */
    private static final int MAX_OPEN_QUERIES = 100_000;

    private final List<SourceState> sources = new ArrayList<>();
    private String server;

    private static final class SourceState {
        /** Queries in the order in which they were received. */
        final Map<Long, CorrelatedQuery> byNumber = new LinkedHashMap<>();

        final Map<String, CorrelatedQuery> byId = new HashMap<>();
        final Map<String, CorrelatedQuery.CorrelatedPart> parts = new HashMap<>();
    }

    /**
     * Adds the next item of a source.
     *
     * @return the query that the item belongs to, or null if it belongs to no known query
     */
    public CorrelatedQuery add(int source, double nowMs, Item item) {
        while (sources.size() <= source) {
            sources.add(new SourceState());
        }
        server = null;
        SourceState state = sources.get(source);
        return item.event() != null
                ? add(state, source, nowMs, item.event())
                : add(state, item.command());
    }

    /** Returns the shard server that the last added item refers to, or null if there is none. */
    public String server() {
        return server;
    }

    /** Returns the number of queries kept in memory for a source. */
    public int openQueries(int source) {
        return source < sources.size() ? sources.get(source).byNumber.size() : 0;
    }

    private CorrelatedQuery add(SourceState state, int source, double nowMs, Event event) {
        if (event instanceof Event.QueryReceived queryReceived) {
            if (state.byNumber.size() >= MAX_OPEN_QUERIES) {
                remove(state, state.byNumber.values().iterator().next());
            }
            var query = new CorrelatedQuery(source, queryReceived, nowMs);
            state.byNumber.put(queryReceived.number(), query);
            state.byId.put(queryReceived.id(), query);
            return query;
        } else if (event instanceof Event.PartReceived partReceived) {
            CorrelatedQuery query = state.byNumber.get(partReceived.queryNumber());
            if (query != null) {
                var part = new CorrelatedQuery.CorrelatedPart(query);
                query.parts.put(partReceived.id(), part);
                state.parts.put(partReceived.id(), part);
            }
            return query;
        } else if (event instanceof Event.AttemptEnded ended) {
            CorrelatedQuery.CorrelatedPart part = state.parts.get(ended.partId());
            if (part == null) {
                return null;
            }
            server =
                    ended.attemptNumber() < part.servers.size()
                            ? part.servers.get(ended.attemptNumber())
                            : null;
            part.query.pendingAttempts--;
            return removeIfFinished(state, part.query);
        } else if (event instanceof Event.ClientDisconnected disconnected) {
            return markEnded(state, state.byId.get(disconnected.queryId()));
        } else if (event instanceof Event.HealthCheckEnded ended) {
            server = ended.server();
        }
        return null;
    }

    private CorrelatedQuery add(SourceState state, Command command) {
        if (command instanceof Command.SendAttempt sendAttempt) {
            server = sendAttempt.server();
            CorrelatedQuery.CorrelatedPart part = state.parts.get(sendAttempt.partId());
            if (part == null) {
                return null;
            }
            part.servers.add(sendAttempt.server());
            part.query.pendingAttempts++;
            return part.query;
        } else if (command instanceof Command.CancelAttempt cancel) {
            CorrelatedQuery.CorrelatedPart part = state.parts.get(cancel.partId());
            if (part == null) {
                return null;
            }
            server =
                    cancel.attemptNumber() < part.servers.size()
                            ? part.servers.get(cancel.attemptNumber())
                            : null;
            return part.query;
        } else if (command instanceof Command.AnswerQuery answer) {
            CorrelatedQuery query = state.byId.get(answer.queryId());
            if (query != null
                    && answer.complete()
                    && !query.secondStep
                    && query.received().queryClass().secondStepParts() > 0) {
                query.secondStep = true;
                return query;
            }
            return markEnded(state, query);
        } else if (command instanceof Command.RejectQuery rejection) {
            return markEnded(state, state.byId.get(rejection.queryId()));
        } else if (command instanceof Command.FailQuery failure) {
            return markEnded(state, state.byId.get(failure.queryId()));
        } else if (command instanceof Command.CheckHealth healthCheck) {
            server = healthCheck.server();
        }
        return null;
    }

    private static CorrelatedQuery markEnded(SourceState state, CorrelatedQuery query) {
        if (query != null) {
            query.ended = true;
            state.byId.remove(query.received().id(), query);
            removeIfFinished(state, query);
        }
        return query;
    }

    private static CorrelatedQuery removeIfFinished(SourceState state, CorrelatedQuery query) {
        if (query.ended && query.pendingAttempts <= 0) {
            remove(state, query);
        }
        return query;
    }

    private static void remove(SourceState state, CorrelatedQuery query) {
        state.byNumber.remove(query.received().number(), query);
        state.byId.remove(query.received().id(), query);
        query.parts.forEach((id, part) -> state.parts.remove(id, part));
    }
}
