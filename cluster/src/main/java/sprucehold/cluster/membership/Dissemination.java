package sprucehold.cluster.membership;

import java.util.ArrayList;
import java.util.List;

/**
 * Spreads updates by infection: each probe and each ack carries a few updates (SWIM's piggybacking;
 * Das, Gupta, Motivala 2002), so that the number of messages per second doesn't grow with the
 * number of members.
 */
final class Dissemination {
    /** Maximum number of updates in a message. At about 70 bytes each, they fit into a datagram. */
    private static final int MAX_UPDATES = 12;

    private final MemberList members;
    private final GossipQueue queue = new GossipQueue();
    private long nextSequenceNumber;

    Dissemination(MemberList members) {
        this.members = members;
    }

    /** Queues an update. Updates about this member itself are not queued while it is superseded. */
    void spread(MemberUpdate update) {
        if (!members.isSuperseded() || !members.isSelf(update.name())) {
            queue.add(update);
        }
    }

    /** Returns a sequence number that no ping of this process has used yet. */
    long nextSequenceNumber() {
        return nextSequenceNumber++;
    }

    /** Creates a ping that is not a probe: failure detection ignores whether it is answered. */
    FailureDetector.Outgoing ping(String to) {
        return ping(to, nextSequenceNumber());
    }

    FailureDetector.Outgoing ping(String to, long sequenceNumber) {
        return new FailureDetector.Outgoing(
                to, new MemberMessage.Ping(sequenceNumber, updatesFor(to)));
    }

    FailureDetector.Outgoing ack(String to, long sequenceNumber) {
        return new FailureDetector.Outgoing(
                to, new MemberMessage.Ack(sequenceNumber, updatesFor(to)));
    }

    /** Selects the updates for a message to {@code to} and counts them as sent. */
    List<MemberUpdate> updatesFor(String to) {
        var updates = new ArrayList<MemberUpdate>();
        MemberUpdate receiver = members.get(to);
        if (receiver != null
                && receiver.state() != MemberUpdate.State.ALIVE
                && receiver.generation() > 0) {
            // A suspected member must receive the suspicion early, so that it can refute it in
            // time.
            updates.add(receiver);
        }
        int places = MAX_UPDATES - updates.size();
        for (MemberUpdate update : queue.next(places, members.othersCount())) {
            if (!updates.contains(update)) {
                updates.add(update);
            }
        }
        addSelf(updates);
        return List.copyOf(updates);
    }

    /**
     * Adds this member's own state, so that receivers that don't know this member yet add it to
     * their list.
     */
    private void addSelf(List<MemberUpdate> updates) {
        if (members.isSuperseded()
                || updates.stream().anyMatch(update -> members.isSelf(update.name()))) {
            return;
        }
        if (updates.size() == MAX_UPDATES) {
            updates.remove(MAX_UPDATES - 1);
        }
        updates.add(members.self());
    }
}
