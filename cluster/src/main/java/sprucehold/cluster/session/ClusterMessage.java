package sprucehold.cluster.session;

import java.util.List;
import sprucehold.cluster.counter.CounterValue;
import sprucehold.cluster.evidence.Observation;
import sprucehold.cluster.membership.MemberMessage;
import sprucehold.cluster.quota.QuotaMessage;

/** What one gatherer says to another at once; each fits into a datagram. */
public sealed interface ClusterMessage {
    /** Of who is there. */
    record OfMembers(MemberMessage message) implements ClusterMessage {}

    /** Of the shares of bounds, each by its name. */
    record OfShares(List<OfShare> shares) implements ClusterMessage {}

    /** Of the shares of one bound. */
    record OfShare(String bound, QuotaMessage message) {}

    /** Of what the sender itself has counted and seen. */
    record OfNews(List<CounterValue> counts, List<Observation> sightings)
            implements ClusterMessage {}
}
