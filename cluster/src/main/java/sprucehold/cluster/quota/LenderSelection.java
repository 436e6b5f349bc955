package sprucehold.cluster.quota;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;

/**
 * Selects the gatherers to ask for units: those whose last answer to a request was a grant, and
 * others drawn at random.
 */
final class LenderSelection {
    /**
     * Maximum number of random draws per gatherer to choose. A draw may return a gatherer that is
     * already chosen, and the limit bounds the repetitions.
     */
    private static final int DRAWS_PER_LENDER = 4;

    private final Random random;
    private final List<String> peers = new ArrayList<>();
    private final Set<String> lenders = new LinkedHashSet<>();

    LenderSelection(Random random) {
        this.random = random;
    }

    /** Sets the gatherers that can be reached now. */
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

    void recordGrant(String lender) {
        lenders.add(lender);
    }

    void recordRefusal(String lender) {
        lenders.remove(lender);
    }

    /** Returns the gatherers whose last answer to a request was a grant. */
    Set<String> lenders() {
        return Collections.unmodifiableSet(lenders);
    }

    /**
     * Chooses at most {@code count} gatherers. At most half of them are taken from those whose last
     * answer was a grant; the others are drawn at random from all that can be reached.
     */
    Set<String> choose(int count) {
        Set<String> chosen = new LinkedHashSet<>();
        for (Iterator<String> known = lenders.iterator();
                known.hasNext() && chosen.size() < count / 2; ) {
            chosen.add(known.next());
        }
        int places = Math.min(count, peers.size());
        for (int draws = 0; chosen.size() < places && draws < DRAWS_PER_LENDER * count; draws++) {
            chosen.add(peers.get(random.nextInt(peers.size())));
        }
        return chosen;
    }
}
