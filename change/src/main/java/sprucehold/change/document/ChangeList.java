package sprucehold.change.document;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import sprucehold.change.document.DocumentDifference.Change;
import sprucehold.change.document.DocumentDifference.Risk;

/**
 * Collects the changes between two documents. It describes changes of single numbers and flags and
 * rates their risk.
 */
final class ChangeList {
    /** A reduction of at least this fraction is {@link Risk#HIGH}. */
    private static final double LARGE_REDUCTION = 0.25;

    /** A reduction of at most this fraction is {@link Risk#LOW}. */
    private static final double SMALL_REDUCTION = 0.05;

    /** Lower limit of the divisor of a reduction, as a value may be 0. */
    private static final double SMALLEST_DIVISOR = 1e-9;

    /** Whole numbers from this magnitude on are written with an exponent. */
    private static final double LARGEST_PLAIN_NUMBER = 1e15;

    /** Direction in which a change of a number restricts service. */
    enum Restrictive {
        WHEN_LOWER,
        WHEN_HIGHER
    }

    private final List<Change> changes = new ArrayList<>();

    void add(String path, String description, Risk risk) {
        changes.add(new Change(path, description, risk));
    }

    /**
     * Adds a change if the number differs.
     *
     * @param subject name of the number, as the subject of the description
     * @param unit the unit with a space before it; empty for none
     */
    void compareNumbers(
            String path,
            String subject,
            double before,
            double after,
            String unit,
            Restrictive restrictive) {
        if (before == after) {
            return;
        }
        String verb = after < before ? " falls from " : " rises from ";
        add(
                path,
                subject + verb + format(before) + " to " + format(after) + unit,
                risk(reduction(before, after, restrictive)));
    }

    /**
     * Returns the fraction by which the number became more restrictive; negative if it became less
     * restrictive.
     */
    private static double reduction(double before, double after, Restrictive restrictive) {
        return restrictive == Restrictive.WHEN_LOWER
                ? (before - after) / Math.max(Math.abs(before), SMALLEST_DIVISOR)
                : (after - before) / Math.max(Math.abs(after), SMALLEST_DIVISOR);
    }

    private static Risk risk(double reduction) {
        if (reduction >= LARGE_REDUCTION) {
            return Risk.HIGH;
        }
        return reduction > SMALL_REDUCTION ? Risk.MIDDLE : Risk.LOW;
    }

    /** Adds a change if the permission differs. */
    void compareFlags(String path, String subject, boolean before, boolean after) {
        if (before != after) {
            add(
                    path,
                    subject + (after ? " is allowed" : " is not allowed any more"),
                    after ? Risk.LOW : Risk.MIDDLE);
        }
    }

    /**
     * Returns all changes, the riskiest first; changes of equal risk stay in the order in which
     * they were added.
     */
    DocumentDifference toDifference() {
        changes.sort(Comparator.comparing(Change::risk).reversed());
        Risk greatest = changes.isEmpty() ? Risk.NONE : changes.get(0).risk();
        return new DocumentDifference(List.copyOf(changes), greatest);
    }

    /** Formats whole numbers without a fraction, and others with four significant digits. */
    static String format(double value) {
        return value == Math.rint(value) && Math.abs(value) < LARGEST_PLAIN_NUMBER
                ? Long.toString((long) value)
                : String.format(Locale.ROOT, "%.4g", value);
    }
}
