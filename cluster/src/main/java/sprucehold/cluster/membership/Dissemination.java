package sprucehold.cluster.membership;

import java.util.ArrayList;
import java.util.List;

/**
 * Spreads updates by infection: a few ride on each probe and each answer (SWIM's piggybacking; Das,
 * Gupta, Motivala 2002), so that messages a second don't grow with the number of members.
 */
final class Dissemination {
    /** Updates in a message: some 70 bytes each keep it within a datagram. */
    private static final int MAX_UPDATES = 12;

    private final MemberList members;
    private final GossipQueue queue = new GossipQueue();
    private long sequenceNumbers;

    Dissemination(MemberList members) {
        this.members = members;
    }

    /** Queues an update; one of itself only while it isn't superseded. */
    void spread(MemberUpdate update) {
        if (!members.isSuperseded() || !members.isSelf(update.name())) {
            queue.add(update);
        }
    }

    /** A number that no ping of this process has had. */
    long nextSequenceNumber() {
        return sequenceNumbers++;
    }

    /** A ping that is no probe: whether it is answered doesn't matter. */
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

    /** The updates for a message; they count as sent. */
    List<MemberUpdate> updatesFor(String to) {
        var updates = new ArrayList<MemberUpdate>();
        MemberUpdate receiver = members.get(to);
        if (receiver != null
                && receiver.state() != MemberUpdate.State.ALIVE
                && receiver.generation() > 0) {
            // A suspected member should be the first to hear of it.
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

    /** A member that isn't known yet makes itself known by what it says. */
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
