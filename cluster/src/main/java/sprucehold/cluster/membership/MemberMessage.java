package sprucehold.cluster.membership;

import java.util.List;

/** What members send each other about membership. Each message carries some updates. */
public sealed interface MemberMessage {
    /** Updates that ride on it; a few, so that a message stays within a datagram. */
    List<MemberUpdate> updates();

    /** Asks the receiver for an {@link Ack}. */
    record Ping(long sequenceNumber, List<MemberUpdate> updates) implements MemberMessage {}

    /** Answers a ping. */
    record Ack(long sequenceNumber, List<MemberUpdate> updates) implements MemberMessage {}

    /** Asks the receiver to ping a target that doesn't answer the sender: an indirect probe. */
    record PingRequest(long sequenceNumber, String target, List<MemberUpdate> updates)
            implements MemberMessage {}

    /** The sender's digest; a receiver with another one answers with its table. */
    record CompareDigest(long digest, List<MemberUpdate> updates) implements MemberMessage {}

    /**
     * All that the sender knows; may be longer than a datagram.
     *
     * @param replyWanted whether the receiver is to send back what it knows beyond it
     */
    record MemberTable(boolean replyWanted, List<MemberUpdate> updates) implements MemberMessage {}
}
