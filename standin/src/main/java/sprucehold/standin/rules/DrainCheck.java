package sprucehold.standin.rules;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import sprucehold.decision.Endpoint;
import sprucehold.standin.ledger.Seen;

/**
 * Checks {@link Rule#DRAINS}: no new attempt is sent to a draining or gone server after discovery
 * has reported that state to the gatherer.
 *
 * <p>Tolerance: {@link RuleSettings#drainGraceMs()} and {@link RuleSettings#transitMs()}.
 */
final class DrainCheck implements RuleCheck {
    private final RuleSettings terms;
    private final Violations violations;
    private final Map<GathererAndServer, Double> drainingSinceMs = new HashMap<>();

    /**
     * A pair of a gatherer and a shard server, as discovery reports states to each gatherer
     * separately.
     */
    private record GathererAndServer(String gatherer, String server) {}

    DrainCheck(RuleSettings terms, Violations violations) {
        this.terms = terms;
        this.violations = violations;
    }

    @Override
    public void endpointUpdateSent(Seen.Told update) {
        var key = new GathererAndServer(update.gatherer(), update.server());
        if (update.mode() == Endpoint.State.RUNNING) {
            drainingSinceMs.remove(key);
        } else {
            drainingSinceMs.putIfAbsent(key, update.atMs());
        }
    }

    @Override
    public void attemptArrived(QueryRecord query, Seen.Arrived arrived, List<Double> earlierMs) {
        Double sinceMs =
                drainingSinceMs.get(new GathererAndServer(arrived.gatherer(), arrived.server()));
        if (sinceMs != null
                && arrived.atMs() > sinceMs + terms.drainGraceMs() + terms.transitMs()) {
            violations.report(
                    Rule.DRAINS,
                    arrived.atMs(),
                    arrived.gatherer()
                            + " sent to "
                            + arrived.server()
                            + " "
                            + (arrived.atMs() - sinceMs)
                            + " ms after it was told of its drain");
        }
    }
}
