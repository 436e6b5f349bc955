package sprucehold.node;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.Logger;
import sprucehold.picker.Answer;
import sprucehold.picker.Dispatch;
import sprucehold.picker.Orders;
import sprucehold.picker.Outcome;
import sprucehold.picker.Report;
import sprucehold.picker.Scan;

/**
 * What becomes of each scan, a line for each step; off unless switched on. With it one scan's id is
 * followed through the logs of all gatherers that it came to, and losses are added up by cause.
 */
final class ScanLog {
    private static final Logger LOG = Logger.getLogger("sprucehold.scans");

    static {
        LOG.setLevel(Level.OFF);
    }

    private ScanLog() {}

    /** Switches it on; where the level above is off, as during the warm-up, it stays silent. */
    static void to(Handler handler) {
        LOG.setLevel(null);
        LOG.addHandler(handler);
        LOG.setUseParentHandlers(false);
    }

    static void taken(Scan scan) {
        if (LOG.isLoggable(Level.INFO)) {
            log(
                    "a scan is taken",
                    fields(scan, "time_left_ms", scan.timeLeftMs(), "parts", scan.parts().size()));
        }
    }

    static void reported(Report report, double nowMs) {
        if (!LOG.isLoggable(Level.INFO)) {
            return;
        }
        if (report instanceof Report.DispatchEnded ended) {
            var dispatch = ended.dispatch();
            log(
                    "a dispatch has ended",
                    fields(
                            dispatch.scan(),
                            "segment",
                            dispatch.segment(),
                            "server",
                            dispatch.server().name(),
                            "outcome",
                            words(ended.outcome()),
                            "took_ms",
                            rounded(dispatch.outMs(nowMs))));
        }
    }

    /** A client's close was read, by the loop's pass or right before an attempt. */
    static void left(Scan scan) {
        if (LOG.isLoggable(Level.INFO)) {
            log("a client has left", fields(scan));
        }
    }

    /** An attempt is written now; {@code waited_ms} counts from when the decisions wanted it. */
    static void begun(Dispatch attempt, double nowMs) {
        if (LOG.isLoggable(Level.INFO)) {
            log(
                    "an attempt begins",
                    fields(
                            attempt.scan(),
                            "segment",
                            attempt.segment(),
                            "number",
                            attempt.number(),
                            "server",
                            attempt.server().name(),
                            "reason",
                            attempt.reason().name(),
                            "waited_ms",
                            rounded(attempt.outMs(nowMs)),
                            "told_ms",
                            rounded(attempt.patienceLeftMs(nowMs))));
        }
    }

    static void ended(Orders.Reply reply) {
        if (LOG.isLoggable(Level.INFO)) {
            String outcome =
                    reply.answer() instanceof Answer.Completed completed
                            ? completed.whole() ? "whole" : "part"
                            : reply.answer() instanceof Answer.Throttled
                                    ? "throttled"
                                    : "abandoned";
            log(
                    "a scan has ended",
                    fields(reply.scan(), "outcome", outcome, "reason", reply.reason().name()));
        }
    }

    private static String words(Outcome outcome) {
        if (outcome instanceof Outcome.Lost lost) {
            return "lost " + lost.progress();
        } else if (outcome instanceof Outcome.Cancelled off) {
            return "called off " + off.progress();
        }
        return outcome instanceof Outcome.Completed
                ? "completed"
                : outcome instanceof Outcome.Faulty ? "faulty" : "turned away";
    }

    private static double rounded(double ms) {
        return Math.round(ms * 10) / 10.0;
    }

    private static void log(String text, Map<String, Object> fields) {
        LOG.log(Level.INFO, text, new Object[] {fields});
    }

    private static Map<String, Object> fields(Scan scan, Object... more) {
        var fields = new LinkedHashMap<String, Object>();
        fields.put("scan", scan.id());
        fields.put("table_type", scan.tableType());
        fields.put("customer", scan.customer());
        for (int i = 0; i < more.length; i += 2) {
            fields.put((String) more[i], more[i + 1]);
        }
        return fields;
    }
}
