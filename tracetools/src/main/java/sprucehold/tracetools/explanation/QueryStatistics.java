package sprucehold.tracetools.explanation;

import java.util.EnumMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import sprucehold.decision.AttemptOutcome;
import sprucehold.decision.Command;
import sprucehold.decision.Event;
import sprucehold.decision.Reason;
import sprucehold.decision.SkippedReplica;
import sprucehold.trace.correlation.CorrelatedQuery;
import sprucehold.trace.event.Item;

/** What befell one query, counted. */
public final class QueryStatistics {
    private final CorrelatedQuery query;
    private Outcome outcome = Outcome.OPEN;
    private Reason reason = Reason.UNSTATED;
    private double endedMs = Double.NaN;
    private int parts;
    private int attempts;
    private int hedges;
    private int retries;
    private final Set<String> servers = new LinkedHashSet<>();
    private final Map<AttemptOutcome, Integer> outcomes = new EnumMap<>(AttemptOutcome.class);
    private final Map<Reason, Integer> reasons = new EnumMap<>(Reason.class);
    private final Map<SkippedReplica.Cause, Integer> skippedReplicas =
            new EnumMap<>(SkippedReplica.Cause.class);

    /** How a query ended. */
    public enum Outcome {
        /** It had a complete answer. */
        COMPLETE("WHOLE", "completed whole"),
        /** It had an answer with less than all that was asked. */
        PARTIAL("PART", "completed in part"),
        /** It was rejected. */
        REJECTED("THROTTLED", "rejected"),
        /** It failed. */
        FAILED("ABANDONED", "failed"),
        /** Its client disconnected before. */
        CLIENT_DISCONNECTED("CLIENT_LEFT", "client disconnected"),
        /** It had no end in this file. */
        OPEN("OPEN", "without an end in this file");

        private final String storedName;
        private final String description;

        Outcome(String storedName, String description) {
            this.storedName = storedName;
            this.description = description;
        }

        /** The name that options, JSON and CSV have for it. */
        public String storedName() {
            return storedName;
        }

        /** The outcome in words, for people. */
        public String description() {
            return description;
        }
    }

    QueryStatistics(CorrelatedQuery query) {
        this.query = query;
    }

    void add(double nowMs, Item item) {
        Event event = item.event();
        Command command = item.command();
        if (event instanceof Event.PartReceived) {
            parts++;
        } else if (event instanceof Event.AttemptEnded ended) {
            outcomes.merge(ended.outcome(), 1, Integer::sum);
        } else if (event instanceof Event.ClientDisconnected) {
            end(Outcome.CLIENT_DISCONNECTED, Reason.CLIENT_DISCONNECTED, nowMs);
        } else if (command instanceof Command.SendAttempt sendAttempt) {
            attempts++;
            servers.add(sendAttempt.server());
            hedges += sendAttempt.reason() == Reason.HEDGE ? 1 : 0;
            retries +=
                    sendAttempt.reason() == Reason.RETRY
                                    || sendAttempt.reason() == Reason.RETRY_NOT_RUN
                            ? 1
                            : 0;
            sendAttempt
                    .skipped()
                    .forEach(passed -> skippedReplicas.merge(passed.cause(), 1, Integer::sum));
        } else if (command instanceof Command.AnswerQuery answer && query.ended()) {
            end(answer.complete() ? Outcome.COMPLETE : Outcome.PARTIAL, answer.reason(), nowMs);
        } else if (command instanceof Command.RejectQuery rejection) {
            end(Outcome.REJECTED, rejection.reason(), nowMs);
        } else if (command instanceof Command.FailQuery failure) {
            end(Outcome.FAILED, failure.reason(), nowMs);
        }
        if (command != null) {
            reasons.merge(command.reason(), 1, Integer::sum);
        }
    }

    private void end(Outcome how, Reason why, double nowMs) {
        outcome = how;
        reason = why;
        endedMs = nowMs;
    }

    public CorrelatedQuery query() {
        return query;
    }

    public Outcome outcome() {
        return outcome;
    }

    /** Why it ended so. */
    public Reason reason() {
        return reason;
    }

    /** When it ended, by its gatherer's clock; NaN where it has not. */
    public double endedMs() {
        return endedMs;
    }

    /** From being taken to its end, in milliseconds; NaN where it has not ended. */
    public double durationMs() {
        return endedMs - query.receivedMs();
    }

    /** Whether it was completed within its latency objective. */
    public boolean metLatencyObjective() {
        return (outcome == Outcome.COMPLETE || outcome == Outcome.PARTIAL)
                && durationMs() <= query.received().queryClass().latencyObjectiveMs();
    }

    public int parts() {
        return parts;
    }

    public int attempts() {
        return attempts;
    }

    public int hedges() {
        return hedges;
    }

    public int retries() {
        return retries;
    }

    public Set<String> servers() {
        return servers;
    }

    /** How many of its attempts ended how. */
    public Map<AttemptOutcome, Integer> outcomes() {
        return outcomes;
    }

    /** How many of its commands were wanted why. */
    public Map<Reason, Integer> reasons() {
        return reasons;
    }

    /** How often replicas were skipped for what. */
    public Map<SkippedReplica.Cause, Integer> skippedReplicas() {
        return skippedReplicas;
    }

    /** Its tenant's name, or a dash where there is none. */
    public String tenant() {
        return query.received().tenant() == null ? "-" : query.received().tenant().name();
    }
}
