package sprucehold.tracetools.anonymise;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Decides which tenants get a pseudonym of their own, and how many of their queries show it. In
 * each cell, which is a time interval and a query class, every pseudonym is shown by the same
 * number of queries. So neither counts nor rhythms nor the mix of query classes distinguish one
 * pseudonym from another. Tenants with too few queries are pooled, and so are the queries above the
 * number. The class is pure: it accesses no file.
 */
final class PseudonymQuota {
    /** A time interval and a query class. */
    record Cell(long interval, String queryClass) {}

    private final Map<String, Map<Cell, Integer>> counts = new TreeMap<>();
    private final Map<Cell, Integer> shown = new HashMap<>();
    private final TreeSet<String> named = new TreeSet<>();

    /** Counts a query of a tenant. Must be called for all queries before {@link #chooseTenants}. */
    void count(String tenant, Cell cell) {
        counts.computeIfAbsent(tenant, name -> new HashMap<>()).merge(cell, 1, Integer::sum);
    }

    /**
     * Chooses the tenants with a pseudonym so that as many queries as possible show one. If the k
     * largest tenants get a pseudonym, each of them shows it in a cell as often as the one of them
     * with the fewest queries in that cell. The k is chosen for which the most queries in total
     * show a pseudonym.
     *
     * @param minimum minimum number of pseudonyms, which limits the chance of a right guess to one
     *     in this number; if there are fewer tenants, none gets a pseudonym
     */
    void chooseTenants(int minimum) {
        List<String> bySize = new ArrayList<>(counts.keySet());
        bySize.sort(
                Comparator.comparingInt((String name) -> -sum(counts.get(name)))
                        .thenComparing(name -> name));
        Map<Cell, Integer> floor = new HashMap<>();
        Map<Cell, Integer> best = Map.of();
        int bestNamed = 0;
        long bestKept = 0;
        for (int k = 1; k <= bySize.size(); k++) {
            Map<Cell, Integer> tenantCounts = counts.get(bySize.get(k - 1));
            if (k == 1) {
                floor.putAll(tenantCounts);
            } else {
                floor.replaceAll(
                        (cell, count) -> Math.min(count, tenantCounts.getOrDefault(cell, 0)));
                floor.values().removeIf(count -> count == 0);
            }
            long kept = (long) k * sum(floor);
            if (k >= minimum && kept > bestKept) {
                bestKept = kept;
                bestNamed = k;
                best = Map.copyOf(floor);
            }
        }
        named.addAll(bySize.subList(0, bestNamed));
        shown.putAll(best);
    }

    private static int sum(Map<Cell, Integer> cellCounts) {
        return cellCounts.values().stream().mapToInt(count -> count).sum();
    }

    /** Returns the tenants with a pseudonym of their own. */
    TreeSet<String> named() {
        return named;
    }

    /** Returns how many queries of each tenant with a pseudonym show it in the cell. */
    int shown(Cell cell) {
        return shown.getOrDefault(cell, 0);
    }

    int tenants() {
        return counts.size();
    }
}
