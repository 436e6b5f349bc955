package sprucehold.rig.run;

import sprucehold.rig.load.Clients;
import sprucehold.rig.plan.Plan;
import sprucehold.rig.script.Script;
import sprucehold.rig.verdict.Outcome;

/** Converts the end of a planned query into an outcome for the figures. */
final class Outcomes {
    private Outcomes() {}

    /**
     * @param firstMs start of the run, by the clock of {@code atMs}
     */
    static Outcome of(
            Script script,
            Plan.PlannedQuery query,
            double firstMs,
            double atMs,
            Clients.End end,
            double sentLateMs) {
        Script.Load load = script.load().get(query.load());
        double target =
                script.tableTypes().stream()
                        .filter(kind -> kind.type().name().equals(load.tableType()))
                        .mapToDouble(kind -> kind.type().latencyObjectiveMs())
                        .findFirst()
                        .orElse(0);
        boolean completed = end == Clients.End.WHOLE || end == Clients.End.PART;
        return new Outcome(
                query.atMs(),
                atMs - firstMs,
                load.site(),
                load.tableType(),
                load.customer(),
                end.name(),
                completed && atMs - firstMs - query.atMs() <= target,
                sentLateMs);
    }
}
