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
import sprucehold.standin.rules.RuleTerms;
import sprucehold.standin.rules.Violation;

/** Judges a run by its ledgers. Pure: the same ledgers give the same verdict. */
public final class Judge {
    /**
     * An answer may be so late: the platform's 50 ms, and what processes that share cores wait for
     * one.
     */
    private static final double SLACK_MS = 250;

    /** A gatherer that was told of a drain has so long, as the platform says. */
    private static final double GRACE_MS = 250;

    /**
     * What was written before may be on its way so long; for a client's close, the 100 ms and 50 ms
     * of the platform.
     */
    private static final double WAY_MS = 150;

    /** The slack of the time that an attempt tells. */
    private static final double TOLD_MS = 150;

    /**
     * Beyond these the rig was starved: a timer that is later than the rules' slack tells nothing
     * of others.
     */
    private static final double LATE_P99_MS = 50;

    private static final double LATE_MOST_MS = 200;

    private Judge() {}

    public static RuleTerms terms(Script script) {
        return new RuleTerms(
                script.tableTypes().stream()
                        .map(Script.Kind::type)
                        .collect(Collectors.toMap(QueryClass::name, type -> type)),
                script.budget(),
                script.together() == null || script.together().further() == 0
                        ? null
                        : new RuleTerms.FleetRetryBudget(
                                script.together().further(), script.together().furtherWindowMs()),
                SLACK_MS,
                GRACE_MS,
                WAY_MS,
                TOLD_MS);
    }

    /**
     * @param seen all ledgers, in any order
     * @param overMs when the run was over: a scan whose time ended before needs an answer
     * @param crashed what gatherers ended by themselves, in words
     */
    public static Verdict judge(
            Script script,
            List<Seen> seen,
            double overMs,
            List<Outcome> outcomes,
            Figures.Self self,
            List<String> crashed) {
        List<Seen> inOrder = seen.stream().sorted(Comparator.comparingDouble(Seen::atMs)).toList();
        Figures figures = Figures.of(outcomes, self);
        var why = new ArrayList<String>(crashed);
        for (Violation broken : RuleChecker.check(terms(script), inOrder, overMs)) {
            why.add(
                    broken.rule()
                            + " at "
                            + String.format(
                                    Locale.ROOT, "%.0f ms: ", broken.atMs() - inOrder.get(0).atMs())
                            + broken.description());
        }
        if (self.loopLateP99Ms() > LATE_P99_MS || self.loopLateMostMs() > LATE_MOST_MS) {
            why.add(
                    0,
                    String.format(
                            Locale.ROOT,
                            "the rig was starved: its timers were late by %.0f ms (p99) and %.0f ms at "
                                    + "worst, %.0f and %.0f are allowed; the run does not count",
                            self.loopLateP99Ms(),
                            self.loopLateMostMs(),
                            LATE_P99_MS,
                            LATE_MOST_MS));
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
