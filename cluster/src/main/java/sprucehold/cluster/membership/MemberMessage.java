package sprucehold.cluster.membership;

import java.util.List;

/** What gatherers say to each other of who is there. Each carries some news along. */
public sealed interface MemberMessage {
    /** News that go along; a few, so that a message stays within a datagram. */
    List<MemberUpdate> news();

    /** Are you there? */
    record Ping(long number, List<MemberUpdate> news) implements MemberMessage {}

    /** Yes. */
    record Ack(long number, List<MemberUpdate> news) implements MemberMessage {}

    /** Ask another for me, whom I can't hear. */
    record PingFor(long number, String target, List<MemberUpdate> news) implements MemberMessage {}

    /** Do we believe the same? Whoever believes something else answers with all that it knows. */
    record Compare(long digest, List<MemberUpdate> news) implements MemberMessage {}

    /**
     * All that is known; may be longer than a datagram.
     *
     * @param back whether what the receiver knows beyond it is wanted in return
     */
    record Table(boolean back, List<MemberUpdate> news) implements MemberMessage {}
}
