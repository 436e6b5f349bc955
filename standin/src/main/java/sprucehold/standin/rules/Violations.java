package sprucehold.standin.rules;

import java.util.ArrayList;
import java.util.List;

/** Collects violations, in the order in which they are found. */
final class Violations {
    private final List<Violation> violations = new ArrayList<>();

    void report(Rule rule, double atMs, String description) {
        violations.add(new Violation(rule, atMs, description));
    }

    List<Violation> all() {
        return List.copyOf(violations);
    }
}
