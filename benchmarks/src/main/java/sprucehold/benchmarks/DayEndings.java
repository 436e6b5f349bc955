package sprucehold.benchmarks;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.stream.Collectors;
import java.util.stream.StreamSupport;

/**
 * Prints how the queries of days that the bench played ended. If the arguments are reports of the
 * bench ({@code --json FILE}), prints a table with one row per report. If the arguments are {@code
 * --ids} and a folder of logs written with {@code --log-scans}, lists by id the queries that have
 * no end, that were answered after their deadline, or that have an attempt that began after their
 * client had disconnected.
 */
public final class DayEndings {
    private static final ObjectMapper JSON = new ObjectMapper();

    /**
     * Delay in milliseconds between the disconnection of a client and the start of an attempt above
     * which the attempt breaks the rules. The first two such attempts are tolerated.
     */
    private static final double MAX_START_AFTER_DISCONNECT_MS = 100;

    private DayEndings() {}

    public static void main(String[] args) throws IOException {
        if (args.length == 2 && args[0].equals("--ids")) {
            listQueries(Path.of(args[1]));
        } else if (args.length > 0 && !args[0].startsWith("--")) {
            printTable(args);
        } else {
            System.err.println(
                    "day-endings: expected reports of the bench (--json FILE), or --ids and a folder of logs");
            System.exit(2);
        }
    }

    private static void printTable(String[] reports) throws IOException {
        System.out.println(
                "| site, day, gatherers, seed | score | served | refused, worst 5 s | late, worst 5 s | "
                        + "without an answer when the client went or its time was over | broken |");
        System.out.println("| --- | --- | --- | --- | --- | --- | --- |");
        for (String report : reports) {
            System.out.println(row(JSON.readTree(Path.of(report).toFile())));
        }
    }

    private static String row(JsonNode day) {
        JsonNode row = day.path("row");
        String broken =
                row.path("rules").properties().stream()
                        .filter(rule -> rule.getValue().asInt() > 0)
                        .map(rule -> rule.getKey() + " " + rule.getValue())
                        .collect(Collectors.joining(", "));
        String fault = day.path("fault").asText("");
        return String.format(
                Locale.ROOT,
                "| %s, %s, %d, %d | %.2f | %.3f | %.1f%% | %.1f%% | %d | %s |",
                day.path("site").asText(),
                day.path("name").asText(),
                row.path("nodes").asInt(),
                row.path("seed").asLong(),
                row.path("score").asDouble(),
                row.path("served").asDouble(),
                worst(day, "refused"),
                worst(day, "late"),
                windows(day).stream().mapToInt(window -> window.path("timed_out").asInt()).sum(),
                fault.isEmpty() || fault.equals("null")
                        ? broken.isEmpty() ? "none" : broken
                        : fault);
    }

    private static List<JsonNode> windows(JsonNode day) {
        return StreamSupport.stream(day.path("windows").spliterator(), false).toList();
    }

    private static double worst(JsonNode day, String field) {
        return windows(day).stream()
                .mapToDouble(
                        window ->
                                100.0
                                        * window.path(field).asInt()
                                        / Math.max(1, window.path("offered").asInt()))
                .max()
                .orElse(0);
    }

    private static void listQueries(Path logs) throws IOException {
        List<ScanLogs.Line> lines = ScanLogs.read(logs);
        if (lines.isEmpty()) {
            System.err.println(
                    "day-endings: no line about a query in "
                            + logs
                            + ": were the gatherers run with --log-scans?");
            System.exit(1);
        }
        Map<String, ScanLogs.Line> open = new HashMap<>();
        Map<String, Double> disconnectedAtS = new HashMap<>();
        for (ScanLogs.Line line : lines) {
            if (line.hasText("a scan is taken")) {
                open.put(line.key(), line);
            } else if (line.hasText("a client has left")) {
                disconnectedAtS.put(line.key(), line.atS());
                open.remove(line.key());
            } else if (line.hasText("a scan has ended") && open.containsKey(line.key())) {
                reportLateAnswer(open.remove(line.key()), line);
            } else if (line.hasText("a dispatch has ended")
                    && disconnectedAtS.containsKey(line.key())) {
                reportAttemptAfterDisconnect(line, disconnectedAtS.get(line.key()));
            }
        }
        open.values().forEach(received -> print(received, "no end", 0));
    }

    private static void reportLateAnswer(ScanLogs.Line received, ScanLogs.Line end) {
        double lateMs = 1000 * (end.atS() - received.atS()) - received.number("time_left_ms");
        if (lateMs > 0) {
            print(received, "answered late (" + end.text("outcome") + ")", lateMs);
        }
    }

    private static void reportAttemptAfterDisconnect(
            ScanLogs.Line dispatch, double disconnectedAtS) {
        double begunMs = 1000 * (dispatch.atS() - disconnectedAtS) - dispatch.number("took_ms");
        if (begunMs > MAX_START_AFTER_DISCONNECT_MS
                && !dispatch.text("outcome").endsWith("NOT_WRITTEN")) {
            print(dispatch, "attempt after the client had left", begunMs);
        }
    }

    private static void print(ScanLogs.Line line, String problem, double lateByMs) {
        System.out.printf(
                Locale.ROOT,
                "%8.3f s  %-18s %-5s %-16s %s%s%n",
                line.atS(),
                line.text("scan"),
                line.gatherer(),
                line.text("table_type"),
                problem,
                lateByMs > 0 ? String.format(Locale.ROOT, ", by %.0f ms", lateByMs) : "");
    }
}
