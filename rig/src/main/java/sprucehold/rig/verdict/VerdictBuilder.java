package sprucehold.rig.verdict;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.stream.Collectors;
import sprucehold.decision.QueryClass;
import sprucehold.rig.script.Script;
import sprucehold.standin.ledger.Seen;
import sprucehold.standin.rules.RuleChecker;
import sprucehold.standin.rules.RuleSettings;
import sprucehold.standin.rules.Violation;

/** Derives the verdict of a run from its ledgers. Pure: the same ledgers give the same verdict. */
public final class VerdictBuilder {
    /**
     * How late an answer may be, in milliseconds: the platform's 50 ms, plus the time that a
     * process waits for a core while processes share them.
     */
    private static final double ANSWER_SLACK_MS = 250;

    /**
     * How long a gatherer may still send to a server after it was notified of its drain, in
     * milliseconds, as the platform specifies.
     */
    private static final double DRAIN_GRACE_MS = 250;

    /**
     * How long a message that was written before an answer, a client's close or a drain may be
     * under way, in milliseconds. For a client's close, it is the sum of the platform's 100 ms and
     * 50 ms.
     */
    private static final double TRANSIT_MS = 150;

    /**
     * By how much the remaining time that an attempt sends to its shard server may exceed the time
     * that its client has left, in milliseconds.
     */
    private static final double TIMEOUT_SLACK_MS = 150;

    /**
     * Limits of the lateness of the rig's timers, in milliseconds. Beyond them the rig was starved,
     * and the run does not count: if the rig's own timers are later than the slack that the rules
     * allow, a late message doesn't prove that a gatherer broke a rule.
     */
    private static final double MAX_LATE_P99_MS = 50;

    private static final double MAX_LATE_MS = 200;

    private VerdictBuilder() {}

    public static RuleSettings terms(Script script) {
        return new RuleSettings(
                script.tableTypes().stream()
                        .map(Script.Kind::type)
                        .collect(Collectors.toMap(QueryClass::name, type -> type)),
                script.budget(),
                script.together() == null || script.together().further() == 0
                        ? null
                        : new RuleSettings.FleetRetryBudget(
                                script.together().further(), script.together().furtherWindowMs()),
                ANSWER_SLACK_MS,
                DRAIN_GRACE_MS,
                TRANSIT_MS,
                TIMEOUT_SLACK_MS);
    }

    /**
     * Returns the verdict of a run.
     *
     * @param seen entries of all ledgers, in any order
     * @param overMs when the run was over; every query whose deadline had passed by then needs an
     *     answer
     * @param crashed descriptions of gatherers that ended by themselves
     */
    public static Verdict evaluate(
            Script script,
            List<Seen> seen,
            double overMs,
            List<Outcome> outcomes,
            Figures.Self self,
            List<String> crashed) {
        List<Seen> inOrder = seen.stream().sorted(Comparator.comparingDouble(Seen::atMs)).toList();
        Figures figures = Figures.of(outcomes, self);
        var why = new ArrayList<String>(crashed);
        for (Violation breach : RuleChecker.check(terms(script), inOrder, overMs)) {
            why.add(
                    breach.rule()
                            + " at "
                            + String.format(
                                    Locale.ROOT, "%.0f ms: ", breach.atMs() - inOrder.get(0).atMs())
                            + breach.description());
        }
        if (self.loopLateP99Ms() > MAX_LATE_P99_MS || self.loopLateMostMs() > MAX_LATE_MS) {
            why.add(
                    0,
                    String.format(
                            Locale.ROOT,
                            "the rig was starved: its timers were late by %.0f ms (p99) and %.0f ms at "
                                    + "worst, %.0f and %.0f are allowed; the run does not count",
                            self.loopLateP99Ms(),
                            self.loopLateMostMs(),
                            MAX_LATE_P99_MS,
                            MAX_LATE_MS));
            return new Verdict(Verdict.Kind.STARVED, List.copyOf(why), figures);
        }
        if (!why.isEmpty()) {
            return new Verdict(Verdict.Kind.BROKEN, List.copyOf(why), figures);
        }
        if (figures.service() < script.bands().leastService()) {
            return new Verdict(
                    Verdict.Kind.OUT_OF_BAND,
                    List.of(
                            String.format(
                                    Locale.ROOT,
                                    "service %.3f, at least %.3f was " + "expected",
                                    figures.service(),
                                    script.bands().leastService())),
                    figures);
        }
        return new Verdict(Verdict.Kind.PASSED, List.of(), figures);
    }
}
