package sprucehold.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import sprucehold.storage.StoredJson;

/** What a command prints: a table for people, or JSON for machines. */
final class Printed {
    private static final ObjectMapper MAPPER = StoredJson.mapperBuilder().build();

    private Printed() {}

    /** One JSON value on a line of standard output. */
    static void json(Object value) {
        try {
            System.out.println(MAPPER.writeValueAsString(value));
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("a result has no JSON form", e);
        }
    }

    /** Names and values, one pair a line. */
    static void pairs(Map<String, ?> values) {
        int width = values.keySet().stream().mapToInt(String::length).max().orElse(0);
        values.forEach(
                (name, value) ->
                        System.out.printf(Locale.ROOT, "%-" + width + "s  %s%n", name, value));
    }

    /** A table: the first column to the left, numbers to the right. */
    static void table(List<String> header, List<? extends List<?>> rows) {
        var lines = new ArrayList<List<String>>();
        lines.add(header);
        rows.forEach(row -> lines.add(row.stream().map(Printed::cell).toList()));
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
     * How far long work has come, on standard error at most twice a second, and nothing for short
     * work.
     */
    static final class Progress {
        private final String what;
        private final long begun = System.nanoTime();
        private long told = begun;
        private boolean any;

        Progress(String what) {
            this.what = what;
        }

        void at(long count) {
            long now = System.nanoTime();
            if (now - told > 500_000_000L) {
                told = now;
                any = true;
                System.err.printf(
                        Locale.ROOT, "\r%,d %s, %.0f s", count, what, (now - begun) / 1e9);
            }
        }

        void end() {
            if (any) {
                System.err.println();
            }
        }
    }
}
