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

/** What the logs of all gatherers of one day, written with {@code --log-scans}, say of queries. */
final class ScanLogs {
    private static final ObjectMapper JSON = new ObjectMapper();

    /** One line about a query; {@code atS} is in seconds, by the clock of whoever kept the log. */
    record Line(double atS, String gatherer, JsonNode fields) {
        String text(String field) {
            return fields.path(field).asText();
        }

        double number(String field) {
            return fields.path(field).asDouble();
        }

        boolean says(String text) {
            return text("text").equals(text);
        }

        /** Tells a query at one gatherer from all others. */
        String key() {
            return gatherer + " " + text("scan");
        }
    }

    private ScanLogs() {}

    /** All such lines of the files {@code *.log} of a folder, in the order of their times. */
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
     * A line is the bench's time in seconds and then what the gatherer wrote; one cut short by a
     * kill is passed over.
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
                    "passed over in the log of "
                            + gatherer
                            + ": "
                            + e.getMessage().lines().findFirst().orElse(""));
        }
    }
}
