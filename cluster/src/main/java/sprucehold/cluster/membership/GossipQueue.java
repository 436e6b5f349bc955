package sprucehold.cluster.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * News that go along with messages, those least often sent first, each so often that most likely
 * all have heard it. Of trouble before all else: while a whole fleet starts, who has come is told
 * by tables anyway, and a suspicion that waits behind a thousand arrivals is refuted too late.
 */
final class GossipQueue {
    /**
     * Times the binary logarithm of the size: suspicions and refutations must reach all, over a
     * network that loses some.
     */
    private static final int URGENT_SENDS = 3;

    private static final int USUAL_SENDS = 1;

    /**
     * Of a message's pieces, so many are left to who has come, so that trouble without end doesn't
     * hide that.
     */
    private static final int LEFT_FOR_USUAL = 2;

    private static final class Rumour {
        final MemberUpdate update;
        int sent;

        Rumour(MemberUpdate update) {
            this.update = update;
        }

        /** An arrival: neither blamed nor the answer to a blame. */
        boolean usual() {
            return update.state() == MemberUpdate.State.ALIVE && update.incarnation() == 0;
        }
    }

    private final Map<String, Rumour> byName = new HashMap<>();
    private final TreeMap<Integer, LinkedHashSet<Rumour>> urgent = new TreeMap<>();
    private final TreeMap<Integer, LinkedHashSet<Rumour>> usual = new TreeMap<>();

    private TreeMap<Integer, LinkedHashSet<Rumour>> of(Rumour rumour) {
        return rumour.usual() ? usual : urgent;
    }

    private void put(Rumour rumour) {
        of(rumour).computeIfAbsent(rumour.sent, none -> new LinkedHashSet<>()).add(rumour);
    }

    private void take(Rumour rumour) {
        LinkedHashSet<Rumour> alike = of(rumour).get(rumour.sent);
        alike.remove(rumour);
        if (alike.isEmpty()) {
            of(rumour).remove(rumour.sent);
        }
    }

    /** Takes news; what was to be told of the same name is told no more. */
    void add(MemberUpdate update) {
        var rumour = new Rumour(update);
        Rumour before = byName.put(update.name(), rumour);
        if (before != null) {
            take(before);
        }
        put(rumour);
    }

    /**
     * The next to tell, which then count as told once more.
     *
     * @param most how many at most
     * @param members how many there are to reach
     */
    List<MemberUpdate> next(int most, int members) {
        var next = new ArrayList<Rumour>();
        first(urgent, usual.isEmpty() ? most : Math.max(1, most - LEFT_FOR_USUAL), next);
        first(usual, most, next);
        first(urgent, most, next);
        double sizes = Math.log(members + 2) / Math.log(2);
        for (Rumour rumour : next) {
            take(rumour);
            rumour.sent++;
            if (rumour.sent < Math.ceil((rumour.usual() ? USUAL_SENDS : URGENT_SENDS) * sizes)) {
                put(rumour);
            } else {
                byName.remove(rumour.update.name());
            }
        }
        return next.stream().map(rumour -> rumour.update).toList();
    }

    private static void first(
            TreeMap<Integer, LinkedHashSet<Rumour>> of, int most, List<Rumour> into) {
        for (LinkedHashSet<Rumour> alike : of.values()) {
            for (Rumour rumour : alike) {
                if (into.size() >= most) {
                    return;
                }
                if (!into.contains(rumour)) {
                    into.add(rumour);
                }
            }
        }
    }
}
