package sprucehold.standin.rules;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import sprucehold.standin.ledger.Seen;

/**
 * Checks a run's ledger against the six rules: reads it once, in the order of time, keeps what was
 * seen of each query, and passes it on to one {@link RuleCheck} for each rule.
 */
public final class RuleChecker {
    private final RuleTerms terms;
    private final Violations violations = new Violations();
    private final Map<String, QueryRecord> queries = new HashMap<>();
    private final OneAnswerCheck oneAnswer;

    /** In the order in which the violations of one entry are reported. */
    private final List<RuleCheck> checks;

    private RuleChecker(RuleTerms terms, HoldUps holdUps) {
        this.terms = terms;
        this.oneAnswer = new OneAnswerCheck(terms, holdUps, violations);
        this.checks =
                List.of(
                        oneAnswer,
                        new DrainCheck(terms, violations),
                        new NoEffectTwiceCheck(terms, violations),
                        new RetryBudgetCheck(terms, violations),
                        new HonestAnswerCheck(violations),
                        new FallOverCheck(violations));
    }

    /**
     * Checks a ledger.
     *
     * @param terms the figures that the rules are checked by
     * @param ledger all that was seen, in the order of time
     * @param endMs when the run ended: queries whose deadline is over by then must have an answer
     * @return all violations, in the order in which they were found
     */
    public static List<Violation> check(RuleTerms terms, List<Seen> ledger, double endMs) {
        var checker = new RuleChecker(terms, new HoldUps(ledger));
        ledger.forEach(checker::read);
        for (QueryRecord query : checker.queries.values()) {
            checker.tell(check -> check.runEnded(query, endMs));
        }
        return checker.violations.all();
    }

    private void tell(Consumer<RuleCheck> entry) {
        checks.forEach(entry);
    }

    private void read(Seen seen) {
        if (seen instanceof Seen.Asked asked) {
            queries.put(
                    asked.scan(),
                    new QueryRecord(asked, terms.queryClasses().get(asked.tableType())));
            tell(check -> check.queryAsked(asked));
        } else if (seen instanceof Seen.Answered answered) {
            readAnswered(answered);
        } else if (seen instanceof Seen.Left left) {
            readLeft(left);
        } else if (seen instanceof Seen.Arrived arrived) {
            readArrived(arrived);
        } else if (seen instanceof Seen.Ran ran) {
            readRan(ran);
        } else if (seen instanceof Seen.FellOver fellOver) {
            tell(check -> check.serverFellOver(fellOver));
        } else if (seen instanceof Seen.Told told) {
            tell(check -> check.endpointTold(told));
        }
    }

    private void readAnswered(Seen.Answered answered) {
        QueryRecord query = queries.get(answered.scan());
        if (query == null) {
            oneAnswer.unknownQueryAnswered(answered);
        } else if (query.answered() != null) {
            oneAnswer.answeredAgain(answered);
        } else {
            query.setAnswered(answered);
            tell(check -> check.queryAnswered(query, answered));
        }
    }

    private void readLeft(Seen.Left left) {
        QueryRecord query = queries.get(left.scan());
        if (query != null) {
            query.setDisconnectedMs(left.atMs());
        }
    }

    private void readArrived(Seen.Arrived arrived) {
        QueryRecord query = queries.get(arrived.scan());
        if (query == null) {
            oneAnswer.attemptOfUnknownQueryArrived(arrived);
            return;
        }
        List<Double> earlierMs = query.arrivals(arrived.segment());
        tell(check -> check.attemptArrived(query, arrived, earlierMs));
        earlierMs.add(arrived.atMs());
    }

    private void readRan(Seen.Ran ran) {
        QueryRecord query = queries.get(ran.scan());
        if (query != null) {
            List<Seen.Ran> earlier = query.runs(ran.segment());
            tell(check -> check.partRan(query, ran, earlier));
            earlier.add(ran);
        }
    }
}
