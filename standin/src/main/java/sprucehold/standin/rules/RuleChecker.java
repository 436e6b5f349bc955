package sprucehold.standin.rules;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import sprucehold.standin.ledger.Seen;

/**
 * Checks a run's ledger against the six rules. It processes the observations once, in the order of
 * time, records those of each query in a {@link QueryRecord}, and passes them to one {@link
 * RuleCheck} for each rule.
 */
public final class RuleChecker {
    private final RuleSettings terms;
    private final Violations violations = new Violations();
    private final Map<String, QueryRecord> queries = new HashMap<>();
    private final OneAnswerCheck oneAnswer;

    /** The checks, in the order in which violations by the same observation are reported. */
    private final List<RuleCheck> checks;

    private RuleChecker(RuleSettings terms, GathererOutages outages) {
        this.terms = terms;
        this.oneAnswer = new OneAnswerCheck(terms, outages, violations);
        this.checks =
                List.of(
                        oneAnswer,
                        new DrainCheck(terms, violations),
                        new NoEffectTwiceCheck(terms, violations),
                        new RetryBudgetCheck(terms, violations),
                        new HonestAnswerCheck(violations),
                        new OverloadCrashCheck(violations));
    }

    /**
     * Checks a ledger.
     *
     * @param terms settings and tolerances of the checks
     * @param ledger all observations, in the order of time
     * @param endMs end of the run, in milliseconds; queries whose deadline plus {@link
     *     RuleSettings#answerSlackMs()} has passed by then must have an answer
     * @return all violations, in the order in which they were found
     */
    public static List<Violation> check(RuleSettings terms, List<Seen> ledger, double endMs) {
        var checker = new RuleChecker(terms, new GathererOutages(ledger));
        ledger.forEach(checker::process);
        for (QueryRecord query : checker.queries.values()) {
            checker.notifyChecks(check -> check.runEnded(query, endMs));
        }
        return checker.violations.all();
    }

    private void notifyChecks(Consumer<RuleCheck> notification) {
        checks.forEach(notification);
    }

    private void process(Seen seen) {
        if (seen instanceof Seen.Asked asked) {
            queries.put(
                    asked.scan(),
                    new QueryRecord(asked, terms.queryClasses().get(asked.tableType())));
            notifyChecks(check -> check.querySent(asked));
        } else if (seen instanceof Seen.Answered answered) {
            processAnswered(answered);
        } else if (seen instanceof Seen.Left left) {
            processLeft(left);
        } else if (seen instanceof Seen.Arrived arrived) {
            processArrived(arrived);
        } else if (seen instanceof Seen.Ran ran) {
            processRan(ran);
        } else if (seen instanceof Seen.FellOver fellOver) {
            notifyChecks(check -> check.serverCrashed(fellOver));
        } else if (seen instanceof Seen.Told update) {
            notifyChecks(check -> check.endpointUpdateSent(update));
        }
    }

    private void processAnswered(Seen.Answered answered) {
        QueryRecord query = queries.get(answered.scan());
        if (query == null) {
            oneAnswer.unknownQueryAnswered(answered);
        } else if (query.answered() != null) {
            oneAnswer.answeredAgain(answered);
        } else {
            query.setAnswered(answered);
            notifyChecks(check -> check.queryAnswered(query, answered));
        }
    }

    private void processLeft(Seen.Left left) {
        QueryRecord query = queries.get(left.scan());
        if (query != null) {
            query.setDisconnectedMs(left.atMs());
        }
    }

    private void processArrived(Seen.Arrived arrived) {
        QueryRecord query = queries.get(arrived.scan());
        if (query == null) {
            oneAnswer.attemptOfUnknownQueryArrived(arrived);
            return;
        }
        List<Double> earlierMs = query.arrivals(arrived.segment());
        notifyChecks(check -> check.attemptArrived(query, arrived, earlierMs));
        earlierMs.add(arrived.atMs());
    }

    private void processRan(Seen.Ran ran) {
        QueryRecord query = queries.get(ran.scan());
        if (query != null) {
            List<Seen.Ran> earlier = query.runs(ran.segment());
            notifyChecks(check -> check.partRan(query, ran, earlier));
            earlier.add(ran);
        }
    }
}
