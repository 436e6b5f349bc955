package sprucehold.cluster.session;

import java.util.List;
import sprucehold.cluster.counter.CounterValue;
import sprucehold.cluster.evidence.Observation;
import sprucehold.cluster.membership.MemberMessage;
import sprucehold.cluster.quota.QuotaMessage;

/** A message between two gatherers; each but a member table fits into a datagram. */
public sealed interface ClusterMessage {
    /** About membership. */
    record MembershipPart(MemberMessage message) implements ClusterMessage {}

    /** About shared limits. */
    record QuotaPart(List<LimitMessage> messages) implements ClusterMessage {}

    /**
     * About one shared limit.
     *
     * @param limit its name, the same at all gatherers
     */
    record LimitMessage(String limit, QuotaMessage message) {}

    /** What the sender itself has counted and observed. */
    record ObservationPart(List<CounterValue> counters, List<Observation> observations)
            implements ClusterMessage {}
}
