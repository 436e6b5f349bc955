package sprucehold.tracetools.anonymise;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Decides which tenants get a pseudonym of their own, and how many of their queries show it: in
 * each cell - a stretch of time and a query class - as many as of every other pseudonym. So neither
 * counts nor rhythms nor the mix of query classes tells one pseudonym from another. Customers too
 * rare for that are pooled, and so are the queries over the count. Pure.
 */
final class PseudonymQuota {
    /** A stretch of time and a query class. */
    record Cell(long stretch, String queryClass) {}

    private final Map<String, Map<Cell, Integer>> counts = new TreeMap<>();
    private final Map<Cell, Integer> shown = new HashMap<>();
    private final TreeSet<String> named = new TreeSet<>();

    /** Counts a query of a tenant; to be called for all before {@link #settle}. */
    void count(String customer, Cell cell) {
        counts.computeIfAbsent(customer, name -> new HashMap<>()).merge(cell, 1, Integer::sum);
    }

    /**
     * Chooses the tenants so that most queries keep a pseudonym: with the tenants by size, the k
     * largest keep in each cell the least count of any of them; the k that keeps most in all is
     * taken.
     *
     * @param least pseudonyms at least, so that guessing one is no better than one in so many;
     *     fewer tenants than that get none
     */
    void settle(int least) {
        List<String> bySize = new ArrayList<>(counts.keySet());
        bySize.sort(
                Comparator.comparingInt((String name) -> -sum(counts.get(name)))
                        .thenComparing(name -> name));
        Map<Cell, Integer> floor = new HashMap<>();
        Map<Cell, Integer> best = Map.of();
        int bestNamed = 0;
        long bestKept = 0;
        for (int k = 1; k <= bySize.size(); k++) {
            Map<Cell, Integer> of = counts.get(bySize.get(k - 1));
            if (k == 1) {
                floor.putAll(of);
            } else {
                floor.replaceAll((cell, count) -> Math.min(count, of.getOrDefault(cell, 0)));
                floor.values().removeIf(count -> count == 0);
            }
            long kept = (long) k * sum(floor);
            if (k >= least && kept > bestKept) {
                bestKept = kept;
                bestNamed = k;
                best = Map.copyOf(floor);
            }
        }
        named.addAll(bySize.subList(0, bestNamed));
        shown.putAll(best);
    }

    private static int sum(Map<Cell, Integer> of) {
        return of.values().stream().mapToInt(count -> count).sum();
    }

    /** Customers with a pseudonym of their own. */
    TreeSet<String> named() {
        return named;
    }

    /** How many queries of each named tenant show its pseudonym in the cell. */
    int shown(Cell cell) {
        return shown.getOrDefault(cell, 0);
    }

    int tenants() {
        return counts.size();
    }
}
