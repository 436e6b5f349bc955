package sprucehold.standin.rules;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import sprucehold.standin.ledger.Seen;

/**
 * Checks {@link Rule#ONE_ANSWER}: each query that was received gets exactly one final answer before
 * its deadline, and no part of it is sent after that.
 *
 * <p>Slack: {@link RuleTerms#answerSlackMs()} for the answer, {@link RuleTerms#transitMs()} for
 * attempts under way when the query was over, {@link RuleTerms#timeoutSlackMs()} for the time that
 * an attempt tells. A gatherer that the run killed or paused is excused.
 */
final class OneAnswerCheck implements RuleCheck {
    private final RuleTerms terms;
    private final HoldUps holdUps;
    private final Violations violations;
    private final Set<String> unanswered = new HashSet<>();

    OneAnswerCheck(RuleTerms terms, HoldUps holdUps, Violations violations) {
        this.terms = terms;
        this.holdUps = holdUps;
        this.violations = violations;
    }

    private void report(double atMs, String description) {
        violations.report(Rule.ONE_ANSWER, atMs, description);
    }

    void unknownQueryAnswered(Seen.Answered answered) {
        report(answered.atMs(), "an answer to scan " + answered.scan() + ", which nobody asked");
    }

    void answeredAgain(Seen.Answered answered) {
        report(answered.atMs(), "a second answer to scan " + answered.scan());
    }

    void attemptOfUnknownQueryArrived(Seen.Arrived arrived) {
        report(arrived.atMs(), "a part of scan " + arrived.scan() + ", which nobody asked");
    }

    @Override
    public void queryAnswered(QueryRecord query, Seen.Answered answered) {
        if (holdUps.wasKilled(query, answered.atMs())) {
            return;
        }
        if (answered.answer() == Seen.Answer.CLOSED) {
            report(answered.atMs(), "scan " + query.id() + " was closed without an answer");
        } else if (answered.atMs() > holdUps.dueMs(query, terms.answerSlackMs())) {
            report(
                    answered.atMs(),
                    "scan "
                            + query.id()
                            + " was answered "
                            + (answered.atMs() - query.asked().atMs())
                            + " ms after it was asked, its client waited "
                            + query.asked().timeLeftMs());
        }
    }

    @Override
    public void attemptArrived(QueryRecord query, Seen.Arrived arrived, List<Double> earlierMs) {
        // A pause excuses neither: what a gatherer sends when it goes on, it sends by what has
        // reached it until then.
        if (arrived.atMs() > query.overMs() + terms.transitMs()) {
            report(
                    arrived.atMs(),
                    "a part of scan "
                            + query.id()
                            + " came "
                            + (arrived.atMs() - query.overMs())
                            + " ms after it was over");
        }
        double leftMs = query.deadlineMs() - arrived.atMs();
        if (arrived.toldMs() > leftMs + terms.timeoutSlackMs() + terms.transitMs()) {
            report(
                    arrived.atMs(),
                    "a part of scan "
                            + query.id()
                            + " was told "
                            + arrived.toldMs()
                            + " ms, its client had "
                            + leftMs
                            + " left");
        }
    }

    @Override
    public void runEnded(QueryRecord query, double endMs) {
        double dueMs = query.deadlineMs() + terms.answerSlackMs();
        boolean paused = holdUps.dueMs(query, terms.answerSlackMs()) > dueMs;
        if (query.answered() == null
                && query.disconnectedMs() > dueMs
                && dueMs <= endMs
                && !paused
                && !holdUps.wasKilled(query, dueMs)
                && unanswered.add(query.id())) {
            report(dueMs, "scan " + query.id() + " had no answer");
        }
    }
}
