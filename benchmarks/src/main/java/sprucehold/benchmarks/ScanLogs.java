package sprucehold.benchmarks;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/** Reads the log lines about queries that gatherers write when run with {@code --log-scans}. */
final class ScanLogs {
    private static final ObjectMapper JSON = new ObjectMapper();

    /**
     * One log line about a query. {@code atS} is the time in seconds by the clock of the process
     * that stored the log.
     */
    record Line(double atS, String gatherer, JsonNode fields) {
        String text(String field) {
            return fields.path(field).asText();
        }

        double number(String field) {
            return fields.path(field).asDouble();
        }

        boolean hasText(String text) {
            return text("text").equals(text);
        }

        /** Returns a key that is unique for each pair of gatherer and query. */
        String key() {
            return gatherer + " " + text("scan");
        }
    }

    private ScanLogs() {}

    /** Returns the lines about queries of all files {@code *.log} in a folder, sorted by time. */
    static List<Line> read(Path folder) throws IOException {
        var lines = new ArrayList<Line>();
        try (Stream<Path> files = Files.list(folder)) {
            for (Path file :
                    files.filter(path -> path.toString().endsWith(".log")).sorted().toList()) {
                String gatherer = file.getFileName().toString().replace(".log", "");
                try (Stream<String> text = Files.lines(file)) {
                    text.filter(line -> line.contains("\"logger\":\"sprucehold.scans\""))
                            .forEach(line -> add(lines, gatherer, line));
                }
            }
        }
        lines.sort(Comparator.comparingDouble(Line::atS));
        return lines;
    }

    /**
     * Parses a line, which consists of a time in seconds by the clock of the bench and the JSON
     * object that the gatherer logged. Skips a line that was cut off when its gatherer was killed.
     */
    private static void add(List<Line> lines, String gatherer, String line) {
        int brace = line.indexOf('{');
        try {
            lines.add(
                    new Line(
                            Double.parseDouble(line.substring(0, brace).strip()),
                            gatherer,
                            JSON.readTree(line.substring(brace))));
        } catch (JsonProcessingException | NumberFormatException e) {
            System.err.println(
                    "skipped a line in the log of "
                            + gatherer
                            + ": "
                            + e.getMessage().lines().findFirst().orElse(""));
        }
    }
}
