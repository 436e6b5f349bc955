package sprucehold.change.document;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import sprucehold.change.document.DocumentDifference.Change;
import sprucehold.change.document.DocumentDifference.Risk;

/** Collects changes, and describes and rates those of single numbers and flags. */
final class ChangeList {
    /** A reduction of at least this fraction is {@link Risk#HIGH}. */
    private static final double LARGE_REDUCTION = 0.25;

    /** A reduction of at most this fraction is {@link Risk#LOW}. */
    private static final double SMALL_REDUCTION = 0.05;

    /** Keeps the division defined where a value is 0. */
    private static final double SMALLEST_DIVISOR = 1e-9;

    /** Whole numbers from here on are written with an exponent. */
    private static final double LARGEST_PLAIN_NUMBER = 1e15;

    /** Which direction of a number's change takes something away. */
    enum Restrictive {
        WHEN_LOWER,
        WHEN_HIGHER
    }

    private final List<Change> changes = new ArrayList<>();

    void add(String path, String description, Risk risk) {
        changes.add(new Change(path, description, risk));
    }

    /**
     * Adds the change of a number, if it changed.
     *
     * @param subject what the number is, as the sentence's subject
     * @param unit with a space before it; empty for none
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

    /** The fraction that is taken away, negative if something is added. */
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

    /** Adds the change of a permission, if it changed. */
    void compareFlags(String path, String subject, boolean before, boolean after) {
        if (before != after) {
            add(
                    path,
                    subject + (after ? " is allowed" : " is not allowed any more"),
                    after ? Risk.LOW : Risk.MIDDLE);
        }
    }

    /** All changes, the riskiest first; changes of one risk stay in the order of their adding. */
    DocumentDifference toDifference() {
        changes.sort(Comparator.comparing(Change::risk).reversed());
        Risk greatest = changes.isEmpty() ? Risk.NONE : changes.get(0).risk();
        return new DocumentDifference(List.copyOf(changes), greatest);
    }

    /** Whole numbers without a fraction, others with four significant digits. */
    static String format(double value) {
        return value == Math.rint(value) && Math.abs(value) < LARGEST_PLAIN_NUMBER
                ? Long.toString((long) value)
                : String.format(Locale.ROOT, "%.4g", value);
    }
}
