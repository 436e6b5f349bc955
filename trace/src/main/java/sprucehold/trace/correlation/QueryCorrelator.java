package sprucehold.trace.correlation;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import sprucehold.decision.Command;
import sprucehold.decision.Event;
import sprucehold.trace.event.Item;

/** Tells, item by item in the order of a source, which query each belongs to. */
public final class QueryCorrelator {
    /**
     * Queries held at most for each source. Guards against traces with gaps, whose queries never
     * end; a gatherer that holds 1,024 descriptors has far fewer open.
     */
    private static final int MAX_OPEN_QUERIES = 100_000;

    private final List<SourceState> sources = new ArrayList<>();
    private String server;

    private static final class SourceState {
        /** In the order in which they were taken. */
        final Map<Long, CorrelatedQuery> byNumber = new LinkedHashMap<>();

        final Map<String, CorrelatedQuery> byId = new HashMap<>();
        final Map<String, CorrelatedQuery.CorrelatedPart> parts = new HashMap<>();
    }

    /** Takes the next item of a source; null where it belongs to no query that is known. */
    public CorrelatedQuery add(int source, double nowMs, Item item) {
        while (sources.size() <= source) {
            sources.add(new SourceState());
        }
        server = null;
        SourceState shelf = sources.get(source);
        return item.event() != null
                ? add(shelf, source, nowMs, item.event())
                : add(shelf, item.command());
    }

    /** The shard server that the item last added was about, or null. */
    public String server() {
        return server;
    }

    /** How many queries are held for a source. */
    public int openQueries(int source) {
        return source < sources.size() ? sources.get(source).byNumber.size() : 0;
    }

    private CorrelatedQuery add(SourceState shelf, int source, double nowMs, Event event) {
        if (event instanceof Event.QueryReceived taken) {
            if (shelf.byNumber.size() >= MAX_OPEN_QUERIES) {
                remove(shelf, shelf.byNumber.values().iterator().next());
            }
            var query = new CorrelatedQuery(source, taken, nowMs);
            shelf.byNumber.put(taken.number(), query);
            shelf.byId.put(taken.id(), query);
            return query;
        } else if (event instanceof Event.PartReceived taken) {
            CorrelatedQuery query = shelf.byNumber.get(taken.queryNumber());
            if (query != null) {
                var part = new CorrelatedQuery.CorrelatedPart(query);
                query.parts.put(taken.id(), part);
                shelf.parts.put(taken.id(), part);
            }
            return query;
        } else if (event instanceof Event.AttemptEnded ended) {
            CorrelatedQuery.CorrelatedPart part = shelf.parts.get(ended.partId());
            if (part == null) {
                return null;
            }
            server =
                    ended.attemptNumber() < part.servers.size()
                            ? part.servers.get(ended.attemptNumber())
                            : null;
            part.query.pendingAttempts--;
            return settled(shelf, part.query);
        } else if (event instanceof Event.ClientDisconnected left) {
            return ended(shelf, shelf.byId.get(left.queryId()));
        } else if (event instanceof Event.HealthCheckEnded ended) {
            server = ended.server();
        }
        return null;
    }

    private CorrelatedQuery add(SourceState shelf, Command command) {
        if (command instanceof Command.SendAttempt sendAttempt) {
            server = sendAttempt.server();
            CorrelatedQuery.CorrelatedPart part = shelf.parts.get(sendAttempt.partId());
            if (part == null) {
                return null;
            }
            part.servers.add(sendAttempt.server());
            part.query.pendingAttempts++;
            return part.query;
        } else if (command instanceof Command.CancelAttempt cancel) {
            CorrelatedQuery.CorrelatedPart part = shelf.parts.get(cancel.partId());
            if (part == null) {
                return null;
            }
            server =
                    cancel.attemptNumber() < part.servers.size()
                            ? part.servers.get(cancel.attemptNumber())
                            : null;
            return part.query;
        } else if (command instanceof Command.AnswerQuery answer) {
            CorrelatedQuery query = shelf.byId.get(answer.queryId());
            if (query != null
                    && answer.complete()
                    && !query.secondStep
                    && query.received().queryClass().secondStepParts() > 0) {
                query.secondStep = true;
                return query;
            }
            return ended(shelf, query);
        } else if (command instanceof Command.RejectQuery rejection) {
            return ended(shelf, shelf.byId.get(rejection.queryId()));
        } else if (command instanceof Command.FailQuery failure) {
            return ended(shelf, shelf.byId.get(failure.queryId()));
        } else if (command instanceof Command.CheckHealth probe) {
            server = probe.server();
        }
        return null;
    }

    private static CorrelatedQuery ended(SourceState shelf, CorrelatedQuery query) {
        if (query != null) {
            query.ended = true;
            shelf.byId.remove(query.received().id(), query);
            settled(shelf, query);
        }
        return query;
    }

    private static CorrelatedQuery settled(SourceState shelf, CorrelatedQuery query) {
        if (query.ended && query.pendingAttempts <= 0) {
            remove(shelf, query);
        }
        return query;
    }

    private static void remove(SourceState shelf, CorrelatedQuery query) {
        shelf.byNumber.remove(query.received().number(), query);
        shelf.byId.remove(query.received().id(), query);
        query.parts.forEach((id, part) -> shelf.parts.remove(id, part));
    }
}
