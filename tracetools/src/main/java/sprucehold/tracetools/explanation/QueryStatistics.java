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

/** Statistics of one query: its outcome, and counts of its parts, attempts and reasons. */
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
        /** The query was answered completely. */
        COMPLETE("WHOLE", "completed whole"),
        /** The query was answered with less than complete coverage. */
        PARTIAL("PART", "completed in part"),
        /** The query was rejected. */
        REJECTED("THROTTLED", "rejected"),
        /** The query failed. */
        FAILED("ABANDONED", "failed"),
        /** The client disconnected before the final answer. */
        CLIENT_DISCONNECTED("CLIENT_LEFT", "client disconnected"),
        /** The file contains no end of the query. */
        OPEN("OPEN", "without an end in this file");

        private final String storedName;
        private final String description;

        Outcome(String storedName, String description) {
            this.storedName = storedName;
            this.description = description;
        }

        /** Returns the name that options, JSON and CSV use. */
        public String storedName() {
            return storedName;
        }

        /** Returns the description of the outcome for people. */
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
                    .forEach(skipped -> skippedReplicas.merge(skipped.cause(), 1, Integer::sum));
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

    private void end(Outcome finalOutcome, Reason finalReason, double nowMs) {
        outcome = finalOutcome;
        reason = finalReason;
        endedMs = nowMs;
    }

    public CorrelatedQuery query() {
        return query;
    }

    public Outcome outcome() {
        return outcome;
    }

    /** Returns the reason of the outcome. */
    public Reason reason() {
        return reason;
    }

    /**
     * Returns the time at which the query ended, by its gatherer's clock in milliseconds, or NaN if
     * it has not ended.
     */
    public double endedMs() {
        return endedMs;
    }

    /**
     * Returns the time from the receipt of the query to its end, in milliseconds, or NaN if it has
     * not ended.
     */
    public double durationMs() {
        return endedMs - query.receivedMs();
    }

    /** Returns whether the query was completed within its latency objective. */
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

    /** Returns the number of attempts for each outcome. */
    public Map<AttemptOutcome, Integer> outcomes() {
        return outcomes;
    }

    /** Returns the number of commands for each reason. */
    public Map<Reason, Integer> reasons() {
        return reasons;
    }

    /** Returns how often replicas were skipped, by cause. */
    public Map<SkippedReplica.Cause, Integer> skippedReplicas() {
        return skippedReplicas;
    }

    /** Returns the name of the tenant, or a dash if there is none. */
    public String tenant() {
        return query.received().tenant() == null ? "-" : query.received().tenant().name();
    }
}
