package sprucehold.policy;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;

/** Parts with a late attempt that wait for a hedged request, in the order they became late. */
final class LateParts {
    private final List<ScheduledPart> parts = new ArrayList<>();

    void add(ScheduledPart part) {
        if (!parts.contains(part)) {
            parts.add(part);
        }
    }

    void removeIf(Predicate<ScheduledPart> done) {
        parts.removeIf(done);
    }
}
