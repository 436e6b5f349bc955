package sprucehold.standin.rules;

import java.util.List;
import sprucehold.decision.QueryClass.Idempotence;
import sprucehold.standin.ledger.Seen;

/**
 * Checks {@link Rule#NO_EFFECT_TWICE}: a non-idempotent part runs at most once, a deduplicated part
 * is not sent again after its deduplication window, and a query is rejected only if none of its
 * non-idempotent parts can have run.
 *
 * <p>Tolerance: {@link RuleSettings#transitMs()} for the deduplication window; none otherwise.
 */
final class NoEffectTwiceCheck implements RuleCheck {
    private final RuleSettings terms;
    private final Violations violations;

    NoEffectTwiceCheck(RuleSettings terms, Violations violations) {
        this.terms = terms;
        this.violations = violations;
    }

    private void report(double atMs, String description) {
        violations.report(Rule.NO_EFFECT_TWICE, atMs, description);
    }

    @Override
    public void attemptArrived(QueryRecord query, Seen.Arrived arrived, List<Double> earlierMs) {
        if (earlierMs.isEmpty() || query.queryClass().idempotence() != Idempotence.DEDUPLICATED) {
            return;
        }
        double firstMs = earlierMs.get(0);
        double windowEndMs =
                firstMs + query.queryClass().deduplicationWindowMs() + terms.transitMs();
        if (!query.runs(arrived.segment()).isEmpty() && arrived.atMs() > windowEndMs) {
            report(
                    arrived.atMs(),
                    "scan "
                            + query.id()
                            + ", segment "
                            + arrived.segment()
                            + " went again "
                            + (arrived.atMs() - firstMs)
                            + " ms after its first, beyond its window");
        }
    }

    @Override
    public void partRan(QueryRecord query, Seen.Ran ran, List<Seen.Ran> earlier) {
        if (!earlier.isEmpty() && query.queryClass().idempotence() == Idempotence.NON_IDEMPOTENT) {
            report(
                    ran.atMs(),
                    "scan "
                            + query.id()
                            + ", segment "
                            + ran.segment()
                            + " ran at "
                            + earlier.get(0).server()
                            + " and at "
                            + ran.server());
        }
    }

    /**
     * Checks rejected queries at the end of the run, as a part that was sent may run after the
     * query was rejected.
     */
    @Override
    public void runEnded(QueryRecord query, double endMs) {
        if (query.answered() != null
                && query.answered().answer() == Seen.Answer.THROTTLED
                && query.queryClass().idempotence() == Idempotence.NON_IDEMPOTENT
                && query.anyPartRan()) {
            report(
                    query.answered().atMs(),
                    "scan "
                            + query.id()
                            + " was throttled though a part of it ran: asked again it runs twice");
        }
    }
}
