package sprucehold.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import sprucehold.storage.StoredJson;

/** Writes results to standard output, as a table or as JSON, and progress to standard error. */
final class Console {
    private static final ObjectMapper MAPPER = StoredJson.mapperBuilder().build();

    private Console() {}

    /** Writes one JSON value as a line to standard output. */
    static void json(Object value) {
        try {
            System.out.println(MAPPER.writeValueAsString(value));
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("a result cannot be written as JSON", e);
        }
    }

    /** Writes names and values, one pair a line. */
    static void pairs(Map<String, ?> values) {
        int width = values.keySet().stream().mapToInt(String::length).max().orElse(0);
        values.forEach(
                (name, value) ->
                        System.out.printf(Locale.ROOT, "%-" + width + "s  %s%n", name, value));
    }

    /** Writes a table. Columns of numbers are right-aligned, all others left-aligned. */
    static void table(List<String> header, List<? extends List<?>> rows) {
        var lines = new ArrayList<List<String>>();
        lines.add(header);
        rows.forEach(row -> lines.add(row.stream().map(Console::cell).toList()));
        int[] widths = new int[header.size()];
        boolean[] numbers = new boolean[header.size()];
        for (int i = 0; i < widths.length; i++) {
            int column = i;
            widths[i] = lines.stream().mapToInt(line -> line.get(column).length()).max().orElse(0);
            numbers[i] =
                    !rows.isEmpty()
                            && rows.stream().allMatch(row -> row.get(column) instanceof Number);
        }
        for (List<String> line : lines) {
            var text = new StringBuilder();
            for (int i = 0; i < widths.length; i++) {
                String pad = " ".repeat(widths[i] - line.get(i).length());
                text.append(i == 0 ? "" : "  ")
                        .append(numbers[i] ? pad + line.get(i) : line.get(i) + pad);
            }
            System.out.println(text.toString().stripTrailing());
        }
    }

    private static String cell(Object value) {
        return value instanceof Double number
                ? Double.isNaN(number) ? "" : String.format(Locale.ROOT, "%.1f", number)
                : String.valueOf(value);
    }

    /**
     * Writes the progress of an operation to standard error, at most once in 500 ms. An operation
     * that takes less than 500 ms writes nothing.
     */
    static final class Progress {
        private final String unit;
        private final long startedNs = System.nanoTime();
        private long lastWrittenNs = startedNs;
        private boolean written;

        Progress(String unit) {
            this.unit = unit;
        }

        void update(long count) {
            long now = System.nanoTime();
            if (now - lastWrittenNs > 500_000_000L) {
                lastWrittenNs = now;
                written = true;
                System.err.printf(
                        Locale.ROOT, "\r%,d %s, %.0f s", count, unit, (now - startedNs) / 1e9);
            }
        }

        void finish() {
            if (written) {
                System.err.println();
            }
        }
    }
}
