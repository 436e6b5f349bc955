package sprucehold.cluster.session;

import java.util.List;
import sprucehold.cluster.counter.Count;
import sprucehold.cluster.evidence.Sighting;
import sprucehold.cluster.membership.MemberMessage;
import sprucehold.cluster.quota.ShareMessage;

/** What one gatherer says to another at once; each fits into a datagram. */
public sealed interface Letter {
    /** Of who is there. */
    record OfMembers(MemberMessage message) implements Letter {}

    /** Of the shares of bounds, each by its name. */
    record OfShares(List<OfShare> shares) implements Letter {}

    /** Of the shares of one bound. */
    record OfShare(String bound, ShareMessage message) {}

    /** Of what the sender itself has counted and seen. */
    record OfNews(List<Count> counts, List<Sighting> sightings) implements Letter {}
}
