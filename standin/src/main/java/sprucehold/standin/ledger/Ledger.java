package sprucehold.standin.ledger;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** All observations of a run. Thread-safe, as clients and servers add observations concurrently. */
public final class Ledger {
    private final List<Seen> observations = new ArrayList<>();

    /** Adds an observation. */
    public synchronized void add(Seen seen) {
        observations.add(seen);
    }

    /**
     * Returns all observations so far, ordered by time; observations of the same time stay in the
     * order in which they were added.
     */
    public synchronized List<Seen> sortedByTime() {
        return observations.stream().sorted(Comparator.comparingDouble(Seen::atMs)).toList();
    }
}
