package sprucehold.cluster.membership;

import java.util.List;

/** A message between members about membership. Each message carries some updates. */
public sealed interface MemberMessage {
    /**
     * Piggybacked updates; few enough that the message fits into a datagram, except in a {@link
     * MemberTable}.
     */
    List<MemberUpdate> updates();

    /** Asks the receiver for an {@link Ack}. */
    record Ping(long sequenceNumber, List<MemberUpdate> updates) implements MemberMessage {}

    /** Answers a ping. */
    record Ack(long sequenceNumber, List<MemberUpdate> updates) implements MemberMessage {}

    /** Asks the receiver to ping a target that doesn't answer the sender: an indirect probe. */
    record PingRequest(long sequenceNumber, String target, List<MemberUpdate> updates)
            implements MemberMessage {}

    /** Carries the sender's digest; a receiver whose digest differs answers with its table. */
    record CompareDigest(long digest, List<MemberUpdate> updates) implements MemberMessage {}

    /**
     * Carries the sender's whole member list, or as a reply the updates that the receiver lacks;
     * may be longer than a datagram.
     *
     * @param replyWanted whether the receiver is to send back the updates that this table lacks
     */
    record MemberTable(boolean replyWanted, List<MemberUpdate> updates) implements MemberMessage {}
}
