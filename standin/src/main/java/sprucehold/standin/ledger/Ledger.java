package sprucehold.standin.ledger;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** All observations of a run. Safe for threads: clients and servers add at the same time. */
public final class Ledger {
    private final List<Seen> all = new ArrayList<>();

    /** Adds an observation. */
    public synchronized void add(Seen seen) {
        all.add(seen);
    }

    /** All so far, by time; observations of the same time stay in the order of their adding. */
    public synchronized List<Seen> inOrder() {
        return all.stream().sorted(Comparator.comparingDouble(Seen::atMs)).toList();
    }
}
