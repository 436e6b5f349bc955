package sprucehold.tracetools.explanation;

import java.time.DateTimeException;
import java.time.Instant;
import java.time.format.DateTimeFormatter;

/** Formats and parses times. */
public final class Times {
    private Times() {}

    /**
     * Returns Unix milliseconds as ISO 8601 in UTC. NaN, and numbers more than 2e14 ms (some 6,300
     * years) from 1970, are returned as plain numbers.
     */
    public static String iso(double unixMs) {
        if (Double.isNaN(unixMs) || Math.abs(unixMs) > 2e14) {
            return Double.toString(unixMs);
        }
        return DateTimeFormatter.ISO_INSTANT.format(Instant.ofEpochMilli(Math.round(unixMs)));
    }

    /** Parses ISO 8601 (in UTC if no zone is given) or Unix milliseconds. */
    public static double parse(String text) {
        try {
            if (text.matches("-?[0-9]+(\\.[0-9]+)?")) {
                return Double.parseDouble(text);
            }
            return Instant.parse(
                            text.endsWith("Z") || text.matches(".*[+-][0-9]{2}:[0-9]{2}$")
                                    ? text
                                    : text + "Z")
                    .toEpochMilli();
        } catch (DateTimeException e) {
            throw new IllegalArgumentException(
                    "'"
                            + text
                            + "' is no time: 2026-01-31T09:30:00Z or Unix milliseconds was expected",
                    e);
        }
    }
}
