package sprucehold.tracetools.explanation;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.stream.Collectors;
import sprucehold.decision.AttemptOutcome;
import sprucehold.decision.Command;
import sprucehold.decision.Event;
import sprucehold.decision.QueryClass;
import sprucehold.decision.SkippedReplica;
import sprucehold.trace.event.Gap;
import sprucehold.trace.event.Source;

/** Describes a query in words and draws its attempts on a time line. */
public final class QueryExplainer {
    private static final int LINE_WIDTH = 60;

    private QueryExplainer() {}

    /** Returns the description of a query as lines of text. */
    public static List<String> describe(QueryExplanation explanation, Source source) {
        var lines = new ArrayList<String>();
        QueryStatistics statistics = explanation.statistics();
        Event.QueryReceived received = statistics.query().received();
        QueryClass queryClass = received.queryClass();
        lines.add(
                "query "
                        + received.id()
                        + " of "
                        + queryClass.name()
                        + " for "
                        + (received.tenant() == null
                                ? "no known tenant"
                                : "tenant " + received.tenant().name())
                        + ", received by gatherer "
                        + source.gatherer()
                        + " at "
                        + Times.iso(statistics.query().receivedMs()));
        lines.add(
                "  "
                        + statistics.parts()
                        + " parts; "
                        + idempotence(queryClass)
                        + "; latency objective "
                        + ms(queryClass.latencyObjectiveMs())
                        + ", its client would wait "
                        + ms(received.timeLeftMs())
                        + "; complete from "
                        + percent(queryClass.completeCoverage())
                        + ", answered at all from "
                        + percent(queryClass.minimumCoverage()));
        lines.add("  " + describeOutcome(statistics));
        lines.add("");
        for (QueryExplanation.Line line : explanation.lines()) {
            String description = describe(line);
            if (description != null) {
                lines.add(
                        String.format(
                                Locale.ROOT,
                                "  %+10.1f ms  %s",
                                line.nowMs() - statistics.query().receivedMs(),
                                description));
            }
        }
        for (Gap gap : explanation.gaps()) {
            lines.add(
                    "  here "
                            + gap.calls()
                            + " calls of the policy were not recorded, from "
                            + Times.iso(gap.nowMs())
                            + " to "
                            + Times.iso(gap.toMs()));
        }
        lines.add("");
        lines.addAll(timeLine(explanation));
        return lines;
    }

    private static String describeOutcome(QueryStatistics statistics) {
        if (statistics.outcome() == QueryStatistics.Outcome.OPEN) {
            return "it has no end in this file";
        }
        return statistics.outcome().description()
                + " after "
                + ms(statistics.durationMs())
                + (statistics.metLatencyObjective()
                        ? ", within its latency objective"
                        : statistics.outcome() == QueryStatistics.Outcome.COMPLETE
                                        || statistics.outcome() == QueryStatistics.Outcome.PARTIAL
                                ? ", past its latency objective"
                                : "")
                + ", because "
                + statistics.reason().description()
                + "; "
                + statistics.attempts()
                + " attempts, "
                + statistics.retries()
                + " retries, "
                + statistics.hedges()
                + " hedged requests";
    }

    private static String idempotence(QueryClass queryClass) {
        return switch (queryClass.idempotence()) {
            case IDEMPOTENT -> "idempotent";
            case DEDUPLICATED ->
                    "deduplicated, repeats dropped for " + ms(queryClass.deduplicationWindowMs());
            case NON_IDEMPOTENT -> "non-idempotent";
        };
    }

    private static String describe(QueryExplanation.Line line) {
        Event event = line.item().event();
        Command command = line.item().command();
        if (event instanceof Event.QueryReceived) {
            return "received";
        } else if (event instanceof Event.PartReceived part) {
            return "part "
                    + part.id()
                    + " for shard "
                    + part.shard()
                    + ", "
                    + percent(part.weight())
                    + " of the answer";
        } else if (event instanceof Event.AttemptEnded ended) {
            return "part "
                    + ended.partId()
                    + ", attempt "
                    + ended.attemptNumber()
                    + ": "
                    + describe(ended.outcome())
                    + " after "
                    + ms(ended.durationMs());
        } else if (event instanceof Event.ClientDisconnected) {
            return "its client disconnected";
        } else if (command instanceof Command.SendAttempt sendAttempt) {
            String skipped =
                    sendAttempt.skipped().stream()
                            .map(QueryExplainer::describe)
                            .collect(Collectors.joining("; "));
            return "part "
                    + sendAttempt.partId()
                    + " goes to "
                    + sendAttempt.server()
                    + ", waited for "
                    + ms(sendAttempt.timeoutMs())
                    + ", because of: "
                    + sendAttempt.reason().description()
                    + "; position "
                    + sendAttempt.position()
                    + (skipped.isEmpty() ? "" : "; skipped " + skipped);
        } else if (command instanceof Command.CancelAttempt cancel) {
            return "part "
                    + cancel.partId()
                    + ", attempt "
                    + cancel.attemptNumber()
                    + " is cancelled, because "
                    + cancel.reason().description();
        } else if (command instanceof Command.AnswerQuery answer) {
            return "answered "
                    + (answer.complete() ? "in whole" : "in part")
                    + ", because "
                    + answer.reason().description();
        } else if (command instanceof Command.RejectQuery rejection) {
            return "rejected, because "
                    + rejection.reason().description()
                    + (rejection.retryAfterMs() > 0
                            ? "; come back in " + ms(rejection.retryAfterMs())
                            : "");
        } else if (command instanceof Command.FailQuery failure) {
            return "failed, because " + failure.reason().description();
        }
        return null;
    }

    private static String describe(SkippedReplica skipped) {
        return skipped.server() + " (" + skipped.cause().description() + ")";
    }

    /** Returns the description of an outcome. */
    public static String describe(AttemptOutcome outcome) {
        return switch (outcome) {
            case COMPLETED -> "completed";
            case ERROR -> "an error, it may have run";
            case OVERLOADED -> "refused, it never ran";
            case TIMED_OUT -> "timed out, it may have run or may yet";
            case UNREACHABLE -> "no connection, it never ran";
            case RESET -> "its connection was reset, it may have run";
            case CANCELLED -> "cancelled, it may have run or may yet";
            case NEVER_SENT -> "never sent";
        };
    }

    private static List<String> timeLine(QueryExplanation explanation) {
        var bars = new AttemptBars(explanation);
        return bars.lines();
    }

    /** Draws a bar for each attempt, from its sending to its end. */
    private static final class AttemptBars {
        private final QueryExplanation explanation;
        private final double beginMs;
        private final double spanMs;

        AttemptBars(QueryExplanation explanation) {
            this.explanation = explanation;
            this.beginMs = explanation.statistics().query().receivedMs();
            double last =
                    explanation.lines().stream()
                            .mapToDouble(QueryExplanation.Line::nowMs)
                            .max()
                            .orElse(beginMs);
            this.spanMs = Math.max(1, last - beginMs);
        }

        List<String> lines() {
            Map<String, Double> sentAtMs = new HashMap<>();
            Map<String, Integer> attemptCounts = new HashMap<>();
            Map<String, String> bars = new LinkedHashMap<>();
            Map<String, String> labels = new HashMap<>();
            for (QueryExplanation.Line line : explanation.lines()) {
                if (line.item().command() instanceof Command.SendAttempt sendAttempt) {
                    int number = attemptCounts.merge(sendAttempt.partId(), 1, Integer::sum) - 1;
                    String key = sendAttempt.partId() + "#" + number;
                    sentAtMs.put(key, line.nowMs());
                    labels.put(key, sendAttempt.partId() + " at " + sendAttempt.server());
                    bars.put(key, bar(line.nowMs(), beginMs + spanMs, '>'));
                } else if (line.item().event() instanceof Event.AttemptEnded ended) {
                    String key = ended.partId() + "#" + ended.attemptNumber();
                    if (sentAtMs.containsKey(key)) {
                        bars.put(key, bar(sentAtMs.get(key), line.nowMs(), mark(ended.outcome())));
                    }
                }
            }
            int width = labels.values().stream().mapToInt(String::length).max().orElse(0);
            var lines = new ArrayList<String>();
            bars.forEach(
                    (key, bar) ->
                            lines.add(
                                    "  "
                                            + String.format(
                                                    "%-" + (width + 1) + "s", labels.get(key))
                                            + bar));
            if (!lines.isEmpty()) {
                lines.add(
                        "  "
                                + " ".repeat(width + 1)
                                + "0 ms"
                                + " ".repeat(LINE_WIDTH - 12)
                                + String.format(Locale.ROOT, "%8.0f ms", spanMs)
                                + "   + completed, x failed, o never ran, c cancelled, t timed out, > pending");
            }
            return lines;
        }

        private String bar(double from, double to, char end) {
            int first = (int) Math.round((from - beginMs) / spanMs * LINE_WIDTH);
            int last = (int) Math.round((to - beginMs) / spanMs * LINE_WIDTH);
            first = Math.max(0, Math.min(LINE_WIDTH, first));
            last = Math.max(first, Math.min(LINE_WIDTH, last));
            return " ".repeat(first) + "-".repeat(last - first) + end;
        }

        private static char mark(AttemptOutcome outcome) {
            return switch (outcome) {
                case COMPLETED -> '+';
                case ERROR, RESET -> 'x';
                case OVERLOADED, UNREACHABLE, NEVER_SENT -> 'o';
                case CANCELLED -> 'c';
                case TIMED_OUT -> 't';
            };
        }
    }

    private static String ms(double ms) {
        return String.format(Locale.ROOT, "%.1f ms", ms);
    }

    private static String percent(double share) {
        return String.format(Locale.ROOT, "%.0f%%", 100 * share);
    }
}
