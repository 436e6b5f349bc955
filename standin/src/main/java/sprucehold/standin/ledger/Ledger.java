package sprucehold.standin.ledger;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** All that was seen in a run. Safe for threads: clients and servers may write at once. */
public final class Ledger {
    private final List<Seen> all = new ArrayList<>();

    public synchronized void add(Seen seen) {
        all.add(seen);
    }

    /** All so far, by time; what has the same time stays as it was written. */
    public synchronized List<Seen> inOrder() {
        return all.stream().sorted(Comparator.comparingDouble(Seen::atMs)).toList();
    }
}
