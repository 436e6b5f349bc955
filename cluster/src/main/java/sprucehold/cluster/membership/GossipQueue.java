package sprucehold.cluster.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Updates that are piggybacked on messages, the least often sent first (SWIM; Das, Gupta, Motivala
 * 2002). Each update is sent until most likely all members have received it.
 *
 * <p>An arrival is an update about a member that is alive and has refuted no suspicion since its
 * start. All other updates are urgent and take precedence: suspicions, refutations, deaths and
 * departures. While a whole fleet starts, table exchange spreads the arrivals anyway, and a
 * suspicion queued behind a thousand arrivals would be refuted too late.
 */
final class GossipQueue {
    /**
     * Number of times an urgent update is sent, as a multiple of the binary logarithm of the number
     * of members. The update must reach all members over a network that loses messages.
     */
    private static final int URGENT_SENDS = 3;

    /**
     * Number of times an arrival is sent, as a multiple of the binary logarithm of the number of
     * members.
     */
    private static final int ARRIVAL_SENDS = 1;

    /**
     * Number of updates per message reserved for arrivals, so that they are still sent while
     * failures continually add urgent updates.
     */
    private static final int PLACES_FOR_ARRIVALS = 2;

    private static final class Queued {
        final MemberUpdate update;
        int sends;

        Queued(MemberUpdate update) {
            this.update = update;
        }

        /** Whether the member is alive and has refuted no suspicion since its start. */
        boolean isArrival() {
            return update.state() == MemberUpdate.State.ALIVE && update.incarnation() == 0;
        }

        int maxSends(double logOfMembers) {
            int factor = isArrival() ? ARRIVAL_SENDS : URGENT_SENDS;
            return (int) Math.ceil(factor * logOfMembers);
        }
    }

    private final Map<String, Queued> byName = new HashMap<>();

    /** Urgent updates by number of sends, the fewest first. */
    private final Map<Integer, Set<Queued>> urgent = new TreeMap<>();

    /** Arrivals by number of sends, the fewest first. */
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

    /** Queues an update; it replaces an earlier update about the same member. */
    void add(MemberUpdate update) {
        var queued = new Queued(update);
        Queued before = byName.put(update.name(), queued);
        if (before != null) {
            remove(before);
        }
        put(queued);
    }

    /**
     * Returns the next updates to send and counts each as sent once more.
     *
     * @param max maximum number of updates
     * @param members number of members to reach
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
