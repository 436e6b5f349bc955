package sprucehold.standin.rules;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import sprucehold.standin.ledger.Seen;

/**
 * Checks {@link Rule#ONE_ANSWER}: each query that was received gets exactly one final answer before
 * its deadline, and none of its parts is sent after the answer or after the client's disconnect.
 * The timeout in an attempt's frame must not exceed the time that the client still waits.
 *
 * <p>Tolerances: {@link RuleSettings#answerSlackMs()} for the answer, {@link
 * RuleSettings#transitMs()} for attempts in transit when the query ended, {@link
 * RuleSettings#timeoutSlackMs()} for the timeout in an attempt's frame. Answers that a gatherer
 * missed because the run killed or paused it are not violations.
 */
final class OneAnswerCheck implements RuleCheck {
    private final RuleSettings terms;
    private final GathererOutages outages;
    private final Violations violations;
    private final Set<String> unanswered = new HashSet<>();

    OneAnswerCheck(RuleSettings terms, GathererOutages outages, Violations violations) {
        this.terms = terms;
        this.outages = outages;
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
        if (outages.wasKilled(query, answered.atMs())) {
            return;
        }
        if (answered.answer() == Seen.Answer.CLOSED) {
            report(answered.atMs(), "scan " + query.id() + " was closed without an answer");
        } else if (answered.atMs() > outages.latestAnswerMs(query, terms.answerSlackMs())) {
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
        // A pause of the gatherer excuses neither violation below: when it resumes, it must process
        // what it has received in the meantime before it sends.
        if (arrived.atMs() > query.endedMs() + terms.transitMs()) {
            report(
                    arrived.atMs(),
                    "a part of scan "
                            + query.id()
                            + " came "
                            + (arrived.atMs() - query.endedMs())
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
        double latestAnswerMs = query.deadlineMs() + terms.answerSlackMs();
        boolean paused = outages.latestAnswerMs(query, terms.answerSlackMs()) > latestAnswerMs;
        if (query.answered() == null
                && query.disconnectedMs() > latestAnswerMs
                && latestAnswerMs <= endMs
                && !paused
                && !outages.wasKilled(query, latestAnswerMs)
                && unanswered.add(query.id())) {
            report(latestAnswerMs, "scan " + query.id() + " had no answer");
        }
    }
}
