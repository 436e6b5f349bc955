package sprucehold.benchmarks;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.stream.Collectors;

/**
 * Reads the logs of all gatherers of one day, written with {@code --log-scans}. Prints how many
 * queries ended by each cause, by query class and by third of the day, and the same for the queries
 * that were not completed, by gatherer. Also prints the outcomes of attempts. If a query id is
 * given, prints the lines about that query from all logs instead. Arguments: folder of the logs,
 * optional query id.
 */
public final class MassDay {
    /** End of one query at one gatherer, which received it at {@code receivedAtS} in seconds. */
    private record EndedQuery(
            double receivedAtS, String gatherer, String tableType, String cause) {}

    private MassDay() {}

    public static void main(String[] args) throws IOException {
        if (args.length == 0) {
            System.err.println(
                    "mass-day: expected the folder of the logs and optionally a query id");
            System.exit(2);
        }
        List<ScanLogs.Line> lines = ScanLogs.read(Path.of(args[0]));
        if (lines.isEmpty()) {
            System.err.println(
                    "mass-day: no line about a query in "
                            + args[0]
                            + ": were the gatherers run with --log-scans?");
            System.exit(1);
        } else if (args.length > 1) {
            printQuery(lines, args[1]);
        } else {
            print(lines);
        }
    }

    private static void printQuery(List<ScanLogs.Line> lines, String id) {
        List<ScanLogs.Line> queryLines =
                lines.stream().filter(line -> line.text("scan").equals(id)).toList();
        if (queryLines.isEmpty()) {
            System.out.println("no gatherer's log names scan " + id);
        }
        for (ScanLogs.Line line : queryLines) {
            var rest = new StringBuilder();
            line.fields().properties().stream()
                    .filter(
                            field ->
                                    !Set.of("time", "level", "logger", "text", "scan")
                                            .contains(field.getKey()))
                    .forEach(
                            field ->
                                    rest.append(' ')
                                            .append(field.getKey())
                                            .append('=')
                                            .append(field.getValue().asText()));
            System.out.printf(
                    Locale.ROOT,
                    "%8.3f %-5s %s:%s%n",
                    line.atS(),
                    line.gatherer(),
                    line.text("text"),
                    rest);
        }
    }

    private static List<EndedQuery> ended(List<ScanLogs.Line> lines) {
        Map<String, ScanLogs.Line> open = new HashMap<>();
        Set<String> disconnected = new HashSet<>();
        var ended = new ArrayList<EndedQuery>();
        for (ScanLogs.Line line : lines) {
            String key = line.gatherer() + " " + line.text("scan");
            if (line.hasText("a scan is taken")) {
                open.put(key, line);
            } else if (line.hasText("a client has left")) {
                disconnected.add(key);
            } else if (line.hasText("a scan has ended") && open.containsKey(key)) {
                ended.add(of(open.remove(key), line.text("outcome") + " " + line.text("reason")));
            }
        }
        open.forEach(
                (key, received) ->
                        ended.add(
                                of(
                                        received,
                                        disconnected.contains(key)
                                                ? "client left"
                                                : "no end: gatherer ended")));
        return ended;
    }

    private static EndedQuery of(ScanLogs.Line received, String cause) {
        return new EndedQuery(
                received.atS(), received.gatherer(), received.text("table_type"), cause);
    }

    private static void print(List<ScanLogs.Line> lines) {
        List<EndedQuery> scans = ended(lines);
        double from = scans.stream().mapToDouble(EndedQuery::receivedAtS).min().orElse(0);
        double third =
                Math.max(
                        1e-9,
                        (scans.stream().mapToDouble(EndedQuery::receivedAtS).max().orElse(0) - from)
                                / 3);
        Function<EndedQuery, String> byThird =
                scan ->
                        String.format(
                                Locale.ROOT,
                                "from %.1f s",
                                from
                                        + third
                                                * Math.min(
                                                        2,
                                                        Math.floor(
                                                                (scan.receivedAtS - from)
                                                                        / third)));
        System.out.println(
                scans.size()
                        + " scans taken by "
                        + lines.stream().map(ScanLogs.Line::gatherer).distinct().count()
                        + " gatherers that logged any");
        table("cause by table type", scans, EndedQuery::tableType, scan -> true);
        table("cause by third of the day", scans, byThird, scan -> true);
        table(
                "what was not completed, by gatherer (the ten that lost most)",
                ofWorstGatherers(scans),
                EndedQuery::gatherer,
                scan -> !completed(scan));
        printAttempts(lines, from, third);
    }

    private static boolean completed(EndedQuery scan) {
        return scan.cause.startsWith("whole") || scan.cause.startsWith("part");
    }

    private static List<EndedQuery> ofWorstGatherers(List<EndedQuery> scans) {
        Map<String, Long> lost =
                scans.stream()
                        .filter(scan -> !completed(scan))
                        .collect(
                                Collectors.groupingBy(EndedQuery::gatherer, Collectors.counting()));
        Set<String> worstGatherers =
                lost.entrySet().stream()
                        .sorted(Map.Entry.<String, Long>comparingByValue().reversed())
                        .limit(10)
                        .map(Map.Entry::getKey)
                        .collect(Collectors.toSet());
        return scans.stream().filter(scan -> worstGatherers.contains(scan.gatherer)).toList();
    }

    private static void table(
            String title,
            List<EndedQuery> scans,
            Function<EndedQuery, String> column,
            Predicate<EndedQuery> counted) {
        Map<String, Map<String, Long>> cells =
                scans.stream()
                        .filter(counted)
                        .collect(
                                Collectors.groupingBy(
                                        EndedQuery::cause,
                                        TreeMap::new,
                                        Collectors.groupingBy(column, Collectors.counting())));
        List<String> columns =
                scans.stream()
                        .map(column)
                        .distinct()
                        .sorted(
                                Comparator.comparing(String::length)
                                        .thenComparing(Comparator.naturalOrder()))
                        .toList();
        print(title, cells, columns);
    }

    /**
     * Prints the outcomes of attempts by third of the day, and the servers at which the most
     * attempts failed.
     */
    private static void printAttempts(List<ScanLogs.Line> lines, double from, double third) {
        List<ScanLogs.Line> ended =
                lines.stream().filter(line -> line.hasText("a dispatch has ended")).toList();
        Map<String, Map<String, Long>> cells =
                ended.stream()
                        .collect(
                                Collectors.groupingBy(
                                        line -> line.text("outcome"),
                                        TreeMap::new,
                                        Collectors.groupingBy(
                                                line ->
                                                        String.format(
                                                                Locale.ROOT,
                                                                "from %.1f s",
                                                                from
                                                                        + third
                                                                                * Math.max(
                                                                                        0,
                                                                                        Math.min(
                                                                                                2,
                                                                                                Math
                                                                                                        .floor(
                                                                                                                (line
                                                                                                                                        .atS()
                                                                                                                                - from)
                                                                                                                        / third)))),
                                                Collectors.counting())));
        print(
                "dispatches by how they ended",
                cells,
                cells.values().stream()
                        .flatMap(row -> row.keySet().stream())
                        .distinct()
                        .sorted(
                                Comparator.comparing(String::length)
                                        .thenComparing(Comparator.naturalOrder()))
                        .toList());
        Map<String, Long> sent =
                ended.stream()
                        .collect(
                                Collectors.groupingBy(
                                        line -> line.text("server"), Collectors.counting()));
        double mean = sent.values().stream().mapToLong(count -> count).average().orElse(0);
        long pairs =
                ended.stream()
                        .map(line -> line.gatherer() + " " + line.text("server"))
                        .distinct()
                        .count();
        System.out.printf(
                Locale.ROOT,
                "%n%d servers were sent to by %d pairs of gatherer and server; dispatches a server: "
                        + "mean %.1f, most %d%n",
                sent.size(),
                pairs,
                mean,
                sent.values().stream().mapToLong(c -> c).max().orElse(0));
        Map<String, Long> failed =
                ended.stream()
                        .filter(
                                line ->
                                        !line.text("outcome").startsWith("completed")
                                                && !line.text("outcome").startsWith("called"))
                        .collect(
                                Collectors.groupingBy(
                                        line -> line.text("server"), Collectors.counting()));
        System.out.println(
                "servers at which most dispatches failed: "
                        + failed.entrySet().stream()
                                .sorted(Map.Entry.<String, Long>comparingByValue().reversed())
                                .limit(8)
                                .map(
                                        entry ->
                                                entry.getKey()
                                                        + " "
                                                        + entry.getValue()
                                                        + " of "
                                                        + sent.get(entry.getKey()))
                                .collect(Collectors.joining(", ")));
    }

    private static void print(
            String title, Map<String, Map<String, Long>> cells, List<String> columns) {
        System.out.println();
        System.out.println(title);
        System.out.printf("%-34s", "");
        columns.forEach(column -> System.out.printf("%16s", column));
        System.out.printf("%8s%n", "all");
        cells.forEach(
                (row, counts) -> {
                    System.out.printf("%-34s", row);
                    columns.forEach(
                            column -> System.out.printf("%16d", counts.getOrDefault(column, 0L)));
                    System.out.printf(
                            "%8d%n", counts.values().stream().mapToLong(count -> count).sum());
                });
    }
}
