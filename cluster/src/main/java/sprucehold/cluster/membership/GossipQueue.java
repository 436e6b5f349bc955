package sprucehold.cluster.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Updates that ride on messages, the least often sent first (SWIM; Das, Gupta, Motivala 2002), each
 * until most likely all members have received it. Suspicions and refutations go before arrivals:
 * while a whole fleet starts, arrivals are spread by table exchange anyway, and a suspicion that
 * waits behind a thousand of them is refuted too late.
 */
final class GossipQueue {
    /**
     * Sends of an urgent update, times the binary logarithm of the number of members: it must reach
     * all over a network that loses messages.
     */
    private static final int URGENT_SENDS = 3;

    /** The same of an arrival. */
    private static final int ARRIVAL_SENDS = 1;

    /** Places of a message left to arrivals, so that failures without end don't hide them. */
    private static final int PLACES_FOR_ARRIVALS = 2;

    private static final class Queued {
        final MemberUpdate update;
        int sends;

        Queued(MemberUpdate update) {
            this.update = update;
        }

        /** Neither a suspicion nor the answer to one. */
        boolean isArrival() {
            return update.state() == MemberUpdate.State.ALIVE && update.incarnation() == 0;
        }

        int maxSends(double logOfMembers) {
            int factor = isArrival() ? ARRIVAL_SENDS : URGENT_SENDS;
            return (int) Math.ceil(factor * logOfMembers);
        }
    }

    private final Map<String, Queued> byName = new HashMap<>();

    /** By number of sends, the fewest first. */
    private final Map<Integer, Set<Queued>> urgent = new TreeMap<>();

    /** By number of sends, the fewest first. */
    private final Map<Integer, Set<Queued>> arrivals = new TreeMap<>();

    private Map<Integer, Set<Queued>> queueOf(Queued queued) {
        return queued.isArrival() ? arrivals : urgent;
    }

    private void put(Queued queued) {
        queueOf(queued).computeIfAbsent(queued.sends, none -> new LinkedHashSet<>()).add(queued);
    }

    private void remove(Queued queued) {
        Set<Queued> sameSends = queueOf(queued).get(queued.sends);
        sameSends.remove(queued);
        if (sameSends.isEmpty()) {
            queueOf(queued).remove(queued.sends);
        }
    }

    /** Queues an update in place of an earlier one of the same name. */
    void add(MemberUpdate update) {
        var queued = new Queued(update);
        Queued before = byName.put(update.name(), queued);
        if (before != null) {
            remove(before);
        }
        put(queued);
    }

    /**
     * The next updates to send, which then count as sent once more.
     *
     * @param max how many at most
     * @param members how many there are to reach
     */
    List<MemberUpdate> next(int max, int members) {
        var next = new ArrayList<Queued>();
        int urgentPlaces = arrivals.isEmpty() ? max : Math.max(1, max - PLACES_FOR_ARRIVALS);
        fill(next, urgent, urgentPlaces);
        fill(next, arrivals, max);
        fill(next, urgent, max);
        double logOfMembers = Math.log(members + 2) / Math.log(2);
        for (Queued queued : next) {
            remove(queued);
            queued.sends++;
            if (queued.sends < queued.maxSends(logOfMembers)) {
                put(queued);
            } else {
                byName.remove(queued.update.name());
            }
        }
        return next.stream().map(queued -> queued.update).toList();
    }

    private static void fill(List<Queued> next, Map<Integer, Set<Queued>> queue, int max) {
        for (Set<Queued> sameSends : queue.values()) {
            for (Queued queued : sameSends) {
                if (next.size() >= max) {
                    return;
                }
                if (!next.contains(queued)) {
                    next.add(queued);
                }
            }
        }
    }
}
