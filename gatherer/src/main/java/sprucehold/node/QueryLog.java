package sprucehold.node;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.Logger;
import sprucehold.coordinator.Answer;
import sprucehold.coordinator.Attempt;
import sprucehold.coordinator.AttemptResult;
import sprucehold.coordinator.Commands;
import sprucehold.coordinator.Observation;
import sprucehold.coordinator.Query;
import sprucehold.coordinator.WriteProgress;

/**
 * Logs each step of each query; off unless enabled. Operators use it to trace the id of one query
 * through the logs of all gatherers that received it, and to add up losses by cause.
 *
 * <p>Programs parse these lines, so their texts, keys and values must not change. This class maps
 * the terms of the source to them:
 *
 * <table>
 * <caption>Names in the log</caption>
 * <tr><th>log</th><th>term in the source</th></tr>
 * <tr><td>{@code scan}</td><td>{@link Query#id}</td></tr>
 * <tr><td>{@code table_type}</td><td>{@link Query#queryClass}</td></tr>
 * <tr><td>{@code customer}</td><td>{@link Query#tenant}</td></tr>
 * <tr><td>{@code segment}</td><td>{@link Attempt#shard}</td></tr>
 * <tr><td>{@code told_ms}</td><td>{@link Attempt#remainingTimeoutMs}, as sent to the shard
 * server</td></tr>
 * <tr><td>{@code whole}, {@code part}</td><td>{@link Answer.Completed}, complete or not</td></tr>
 * <tr><td>{@code throttled}</td><td>{@link Answer.Rejected}</td></tr>
 * <tr><td>{@code abandoned}</td><td>{@link Answer.Failed}</td></tr>
 * <tr><td>{@code faulty}</td><td>{@link AttemptResult.Failed}</td></tr>
 * <tr><td>{@code turned away}</td><td>{@link AttemptResult.Rejected}</td></tr>
 * <tr><td>{@code lost}</td><td>{@link AttemptResult.ConnectionLost}</td></tr>
 * <tr><td>{@code called off}</td><td>{@link AttemptResult.Cancelled}</td></tr>
 * </table>
 */
final class QueryLog {
    private static final Logger LOG = Logger.getLogger("sprucehold.scans");

    static {
        LOG.setLevel(Level.OFF);
    }

    private QueryLog() {}

    /**
     * Enables the query log. Nothing is logged while the level of the parent logger is off, as
     * during the warm-up.
     */
    static void enable(Handler handler) {
        LOG.setLevel(null);
        LOG.addHandler(handler);
        LOG.setUseParentHandlers(false);
    }

    /** Logs the receipt of a query. */
    static void received(Query query) {
        if (LOG.isLoggable(Level.INFO)) {
            new Line("a scan is taken", query)
                    .with("time_left_ms", query.timeLeftMs())
                    .with("parts", query.parts().size())
                    .log();
        }
    }

    /** Logs an observation if it is the end of an attempt; ignores all others. */
    static void observed(Observation observation, double nowMs) {
        if (LOG.isLoggable(Level.INFO) && observation instanceof Observation.AttemptEnded ended) {
            Attempt attempt = ended.attempt();
            new Line("a dispatch has ended", attempt.query())
                    .with("segment", attempt.shard())
                    .with("server", attempt.server().name())
                    .with("outcome", outcome(ended.result()))
                    .with("took_ms", rounded(attempt.ageMs(nowMs)))
                    .log();
        }
    }

    /**
     * Logs that the close of a client's connection was read, either in a pass of the event loop or
     * in the check right before an attempt.
     */
    static void clientDisconnected(Query query) {
        if (LOG.isLoggable(Level.INFO)) {
            new Line("a client has left", query).log();
        }
    }

    /**
     * Logs the start of an attempt, at the time of its write. {@code waited_ms} is the time since
     * the decision policy commanded the attempt.
     */
    static void attemptStarting(Attempt attempt, double nowMs) {
        if (LOG.isLoggable(Level.INFO)) {
            new Line("an attempt begins", attempt.query())
                    .with("segment", attempt.shard())
                    .with("number", attempt.number())
                    .with("server", attempt.server().name())
                    .with("reason", attempt.reason().storedName())
                    .with("waited_ms", rounded(attempt.ageMs(nowMs)))
                    .with("told_ms", rounded(attempt.remainingTimeoutMs(nowMs)))
                    .log();
        }
    }

    /** Logs the final answer to a query. */
    static void answered(Commands.Reply reply) {
        if (LOG.isLoggable(Level.INFO)) {
            new Line("a scan has ended", reply.query())
                    .with("outcome", outcome(reply.answer()))
                    .with("reason", reply.reason().storedName())
                    .log();
        }
    }

    private static String outcome(Answer answer) {
        if (answer instanceof Answer.Completed completed) {
            return completed.complete() ? "whole" : "part";
        }
        return answer instanceof Answer.Rejected ? "throttled" : "abandoned";
    }

    private static String outcome(AttemptResult result) {
        if (result instanceof AttemptResult.ConnectionLost lost) {
            return "lost " + text(lost.progress());
        } else if (result instanceof AttemptResult.Cancelled cancelled) {
            return "called off " + text(cancelled.progress());
        } else if (result instanceof AttemptResult.Completed) {
            return "completed";
        }
        return result instanceof AttemptResult.Failed ? "faulty" : "turned away";
    }

    private static String text(WriteProgress progress) {
        return switch (progress) {
            case NOT_WRITTEN -> "NOT_WRITTEN";
            case PARTLY_WRITTEN -> "PARTLY_WRITTEN";
            case WRITTEN -> "WRITTEN";
        };
    }

    /** Rounds to a tenth of a millisecond. */
    private static double rounded(double ms) {
        return Math.round(ms * 10) / 10.0;
    }

    /** A log line with structured fields, in the order in which they were added. */
    private static final class Line {
        private final String text;
        private final Map<String, Object> fields = new LinkedHashMap<>();

        Line(String text, Query query) {
            this.text = text;
            with("scan", query.id());
            with("table_type", query.queryClass());
            with("customer", query.tenant());
        }

        Line with(String key, Object value) {
            fields.put(key, value);
            return this;
        }

        void log() {
            LOG.log(Level.INFO, text, new Object[] {fields});
        }
    }
}
