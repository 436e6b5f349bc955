package sprucehold.standin.rules;

import java.util.Map;
import sprucehold.standin.ledger.Seen;

/**
 * Checks {@link Rule#HONEST}: an answer has at least the minimum coverage, is complete if it states
 * so, and contains only values that a shard server returned for the query.
 *
 * <p>Tolerance: {@link #COVERAGE_SLACK}, as weights are sent rounded.
 */
final class HonestAnswerCheck implements RuleCheck {
    /**
     * Greatest amount by which a sum of rounded weights may fall short of the required coverage.
     */
    private static final double COVERAGE_SLACK = 1e-4;

    private final Violations violations;

    HonestAnswerCheck(Violations violations) {
        this.violations = violations;
    }

    private void report(Seen.Answered answered, String description) {
        violations.report(Rule.HONEST, answered.atMs(), "scan " + answered.scan() + description);
    }

    @Override
    public void queryAnswered(QueryRecord query, Seen.Answered answered) {
        if (answered.answer() != Seen.Answer.COMPLETED) {
            return;
        }
        double coverage = 0;
        for (Map.Entry<Integer, String> value : answered.values().entrySet()) {
            Double weight = query.asked().weights().get(value.getKey());
            if (weight == null) {
                report(answered, " has segment " + value.getKey() + ", for which nobody asked");
                continue;
            }
            coverage += weight;
            checkValue(query, answered, value.getKey(), value.getValue());
        }
        checkCoverage(query, answered, coverage);
    }

    private void checkValue(QueryRecord query, Seen.Answered answered, int shard, String value) {
        if (query.runs(shard).stream().noneMatch(ran -> ran.value().equals(value))) {
            report(answered, ", segment " + shard + ": no shard server made its value");
        }
    }

    private void checkCoverage(QueryRecord query, Seen.Answered answered, double coverage) {
        double minimum = query.queryClass().minimumCoverage();
        double complete = query.queryClass().completeCoverage();
        if (coverage < minimum - COVERAGE_SLACK) {
            report(
                    answered,
                    " was answered with " + coverage + ", under the least share " + minimum);
        } else if (answered.whole() && coverage < complete - COVERAGE_SLACK) {
            report(answered, " is called whole with " + coverage + " of " + complete);
        }
    }
}
