package sprucehold.rig.run;

import sprucehold.rig.load.Clients;
import sprucehold.rig.plan.Plan;
import sprucehold.rig.script.Script;
import sprucehold.rig.verdict.Outcome;

/** What the end of a planned scan is for the figures. */
final class Ends {
    private Ends() {}

    /**
     * @param firstMs the first moment of the run, by the clock of {@code atMs}
     */
    static Outcome of(
            Script script,
            Plan.PlannedQuery ask,
            double firstMs,
            double atMs,
            Clients.End end,
            double sentLateMs) {
        Script.Load load = script.load().get(ask.load());
        double target =
                script.tableTypes().stream()
                        .filter(kind -> kind.type().name().equals(load.tableType()))
                        .mapToDouble(kind -> kind.type().latencyObjectiveMs())
                        .findFirst()
                        .orElse(0);
        boolean completed = end == Clients.End.WHOLE || end == Clients.End.PART;
        return new Outcome(
                ask.atMs(),
                atMs - firstMs,
                load.site(),
                load.tableType(),
                load.customer(),
                end.name(),
                completed && atMs - firstMs - ask.atMs() <= target,
                sentLateMs);
    }
}
