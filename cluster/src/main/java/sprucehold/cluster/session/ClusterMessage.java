package sprucehold.cluster.session;

import java.util.List;
import sprucehold.cluster.counter.CounterValue;
import sprucehold.cluster.evidence.Observation;
import sprucehold.cluster.membership.MemberMessage;
import sprucehold.cluster.quota.QuotaMessage;

/** A message between two gatherers. Each message except a member table fits into a datagram. */
public sealed interface ClusterMessage {
    /** A message about membership. */
    record MembershipPart(MemberMessage message) implements ClusterMessage {}

    /** Messages about shared limits. */
    record QuotaPart(List<LimitMessage> messages) implements ClusterMessage {}

    /**
     * A message about one shared limit.
     *
     * @param limit name of the limit, the same at all gatherers
     */
    record LimitMessage(String limit, QuotaMessage message) {}

    /** Counters and observations of the sender itself. */
    record ObservationPart(List<CounterValue> counters, List<Observation> observations)
            implements ClusterMessage {}
}
