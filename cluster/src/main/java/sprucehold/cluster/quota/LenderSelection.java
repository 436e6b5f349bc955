package sprucehold.cluster.quota;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;

/** Whom to ask for units: those who lent when last asked, and others drawn at random. */
final class LenderSelection {
    /** Draws for each place at the most, as a draw may hit one chosen already. */
    private static final int DRAWS_PER_PLACE = 4;

    private final Random random;
    private final List<String> peers = new ArrayList<>();
    private final Set<String> lenders = new LinkedHashSet<>();

    LenderSelection(Random random) {
        this.random = random;
    }

    /** Those who can be reached now. */
    void setPeers(Collection<String> alive) {
        peers.clear();
        alive.stream().sorted().forEach(peers::add);
        lenders.retainAll(alive);
    }

    boolean hasPeers() {
        return !peers.isEmpty();
    }

    boolean isPeer(String name) {
        return peers.contains(name);
    }

    void lent(String lender) {
        lenders.add(lender);
    }

    void refused(String lender) {
        lenders.remove(lender);
    }

    /** Those who lent when they were last asked. */
    Set<String> lenders() {
        return Collections.unmodifiableSet(lenders);
    }

    /** At most so many, no more than half of them by what they lent before. */
    Set<String> choose(int count) {
        Set<String> chosen = new LinkedHashSet<>();
        for (Iterator<String> known = lenders.iterator();
                known.hasNext() && chosen.size() < count / 2; ) {
            chosen.add(known.next());
        }
        int places = Math.min(count, peers.size());
        for (int draws = 0; chosen.size() < places && draws < DRAWS_PER_PLACE * count; draws++) {
            chosen.add(peers.get(random.nextInt(peers.size())));
        }
        return chosen;
    }
}
