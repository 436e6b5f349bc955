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

/**
 * What becomes of each scan, a line for each step; off unless switched on. With it one scan's id is
 * followed through the logs of all gatherers that it came to, and losses are added up by cause.
 */
final class QueryLog {
    private static final Logger LOG = Logger.getLogger("sprucehold.scans");

    static {
        LOG.setLevel(Level.OFF);
    }

    private QueryLog() {}

    /** Switches it on; where the level above is off, as during the warm-up, it stays silent. */
    static void enable(Handler handler) {
        LOG.setLevel(null);
        LOG.addHandler(handler);
        LOG.setUseParentHandlers(false);
    }

    static void received(Query query) {
        if (LOG.isLoggable(Level.INFO)) {
            log(
                    "a scan is taken",
                    fields(
                            query,
                            "time_left_ms",
                            query.timeLeftMs(),
                            "parts",
                            query.parts().size()));
        }
    }

    static void observed(Observation observation, double nowMs) {
        if (!LOG.isLoggable(Level.INFO)) {
            return;
        }
        if (observation instanceof Observation.AttemptEnded ended) {
            var attempt = ended.attempt();
            log(
                    "a dispatch has ended",
                    fields(
                            attempt.query(),
                            "segment",
                            attempt.shard(),
                            "server",
                            attempt.server().name(),
                            "outcome",
                            outcomeText(ended.result()),
                            "took_ms",
                            rounded(attempt.ageMs(nowMs))));
        }
    }

    /** A client's close was read, by the loop's pass or right before an attempt. */
    static void clientDisconnected(Query query) {
        if (LOG.isLoggable(Level.INFO)) {
            log("a client has left", fields(query));
        }
    }

    /** An attempt is written now; {@code waited_ms} counts from when the decisions wanted it. */
    static void attemptStarting(Attempt attempt, double nowMs) {
        if (LOG.isLoggable(Level.INFO)) {
            log(
                    "an attempt begins",
                    fields(
                            attempt.query(),
                            "segment",
                            attempt.shard(),
                            "number",
                            attempt.number(),
                            "server",
                            attempt.server().name(),
                            "reason",
                            attempt.reason().storedName(),
                            "waited_ms",
                            rounded(attempt.ageMs(nowMs)),
                            "told_ms",
                            rounded(attempt.timeLeftMs(nowMs))));
        }
    }

    static void answered(Commands.Reply reply) {
        if (LOG.isLoggable(Level.INFO)) {
            String outcome =
                    reply.answer() instanceof Answer.Completed completed
                            ? completed.complete() ? "whole" : "part"
                            : reply.answer() instanceof Answer.Rejected ? "throttled" : "abandoned";
            log(
                    "a scan has ended",
                    fields(
                            reply.query(),
                            "outcome",
                            outcome,
                            "reason",
                            reply.reason().storedName()));
        }
    }

    private static String outcomeText(AttemptResult result) {
        if (result instanceof AttemptResult.ConnectionLost lost) {
            return "lost " + lost.progress();
        } else if (result instanceof AttemptResult.Cancelled off) {
            return "called off " + off.progress();
        }
        return result instanceof AttemptResult.Completed
                ? "completed"
                : result instanceof AttemptResult.Failed ? "faulty" : "turned away";
    }

    private static double rounded(double ms) {
        return Math.round(ms * 10) / 10.0;
    }

    private static void log(String text, Map<String, Object> fields) {
        LOG.log(Level.INFO, text, new Object[] {fields});
    }

    private static Map<String, Object> fields(Query query, Object... more) {
        var fields = new LinkedHashMap<String, Object>();
        fields.put("scan", query.id());
        fields.put("table_type", query.queryClass());
        fields.put("customer", query.tenant());
        for (int i = 0; i < more.length; i += 2) {
            fields.put((String) more[i], more[i + 1]);
        }
        return fields;
    }
}
