package sprucehold.standin.rules;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import sprucehold.decision.Endpoint;
import sprucehold.standin.ledger.Seen;

/**
 * Checks {@link Rule#DRAINS}: nothing new is sent to a draining or gone server once the gatherer
 * was told.
 *
 * <p>Slack: {@link RuleTerms#drainGraceMs()} and {@link RuleTerms#transitMs()}.
 */
final class DrainCheck implements RuleCheck {
    private final RuleTerms terms;
    private final Violations violations;
    private final Map<KnownServer, Double> drainingSinceMs = new HashMap<>();

    /** A server, as one gatherer knows it. */
    private record KnownServer(String gatherer, String server) {}

    DrainCheck(RuleTerms terms, Violations violations) {
        this.terms = terms;
        this.violations = violations;
    }

    @Override
    public void endpointTold(Seen.Told told) {
        var key = new KnownServer(told.gatherer(), told.server());
        if (told.mode() == Endpoint.State.RUNNING) {
            drainingSinceMs.remove(key);
        } else {
            drainingSinceMs.putIfAbsent(key, told.atMs());
        }
    }

    @Override
    public void attemptArrived(QueryRecord query, Seen.Arrived arrived, List<Double> earlierMs) {
        Double sinceMs = drainingSinceMs.get(new KnownServer(arrived.gatherer(), arrived.server()));
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
