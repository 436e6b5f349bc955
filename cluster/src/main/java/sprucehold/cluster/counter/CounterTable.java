package sprucehold.cluster.counter;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * One gatherer's view of the counters of a fleet: a grow-only counter (G-Counter; Shapiro and
 * others 2011) for each key. Each gatherer increments only its own counter. Of another gatherer's
 * counter, the greatest total received for each generation counts. Repeated, delayed or reordered
 * messages therefore change nothing, and all gatherers that have received the same totals agree. A
 * restart begins a new generation at 0 and leaves the totals of earlier generations as they are.
 */
public final class CounterTable {
    /**
     * Number of generations of one gatherer with separate totals; earlier ones are merged into one
     * sum, which late messages can't increase.
     */
    private static final int MAX_GENERATIONS = 4;

    /** Minimum time between two totals for computing a rate, in milliseconds. */
    private static final double MIN_RATE_SPAN_MS = 200;

    /** One gatherer's totals of one key. */
    private static final class Totals {
        final TreeMap<Long, Long> byGeneration = new TreeMap<>();

        /** Sum of the totals of the merged generations. */
        long earlierTotal;

        /** The latest of the merged generations. */
        long latestEarlier = Long.MIN_VALUE;

        /** Sums at the last two times at which the sum grew, and these times. */
        long previousSum;

        double previousAtMs = Double.NaN;
        long lastSum;
        double lastAtMs = Double.NaN;

        long sum() {
            return earlierTotal + byGeneration.values().stream().mapToLong(total -> total).sum();
        }

        void mergeEarliest() {
            while (byGeneration.size() > MAX_GENERATIONS) {
                Map.Entry<Long, Long> first = byGeneration.pollFirstEntry();
                earlierTotal += first.getValue();
                latestEarlier = first.getKey();
            }
        }

        void recordSum(double nowMs) {
            if (Double.isNaN(lastAtMs) || nowMs - lastAtMs >= MIN_RATE_SPAN_MS) {
                previousSum = lastSum;
                previousAtMs = lastAtMs;
                lastAtMs = nowMs;
            }
            lastSum = sum();
        }

        /** Returns the units per second between the last two times. */
        double perSecond() {
            return 1000
                    * (lastSum - previousSum)
                    / Math.max(MIN_RATE_SPAN_MS, lastAtMs - previousAtMs);
        }
    }

    private final String self;
    private final long generation;
    private final double halfLifeMs;
    private final Map<String, Map<String, Totals>> byKey = new TreeMap<>();
    private final Map<String, Double> ownChangedAtMs = new HashMap<>();

    /**
     * @param halfLifeMs age at which a received rate counts half, in milliseconds; at twice that
     *     age it counts a quarter
     */
    public CounterTable(String self, long generation, double halfLifeMs) {
        this.self = self;
        this.generation = generation;
        this.halfLifeMs = halfLifeMs;
    }

    /** Adds units to this gatherer's own counter. */
    public void add(double nowMs, String key, long units) {
        long own = totals(key, self).byGeneration.getOrDefault(generation, 0L);
        merge(nowMs, new CounterValue(self, generation, key, own + units));
        ownChangedAtMs.put(key, nowMs);
    }

    /** Merges a counter of another gatherer, or of an earlier generation of this one. */
    public void receive(double nowMs, CounterValue counter) {
        // Only this process may increase the counter of its own generation.
        if (!counter.gatherer().equals(self) || counter.generation() != generation) {
            merge(nowMs, counter);
        }
    }

    private Totals totals(String key, String gatherer) {
        return byKey.computeIfAbsent(key, none -> new TreeMap<>())
                .computeIfAbsent(gatherer, none -> new Totals());
    }

    private void merge(double nowMs, CounterValue counter) {
        Totals totals = totals(counter.key(), counter.gatherer());
        long known = totals.byGeneration.getOrDefault(counter.generation(), 0L);
        if (counter.generation() <= totals.latestEarlier || counter.total() <= known) {
            return;
        }
        totals.byGeneration.put(counter.generation(), counter.total());
        totals.mergeEarliest();
        totals.recordSum(nowMs);
    }

    /**
     * Returns the sum of a key over all gatherers, as far as their counters have been received;
     * never more than the true sum.
     */
    public long total(String key) {
        return byKey.getOrDefault(key, Map.of()).values().stream().mapToLong(Totals::sum).sum();
    }

    /**
     * Returns the units per second that other gatherers count of a key: the sum of their latest
     * rates, each of which decays with its age.
     */
    public double othersPerSecond(double nowMs, String key) {
        double sum = 0;
        for (var entry : byKey.getOrDefault(key, Map.of()).entrySet()) {
            Totals totals = entry.getValue();
            if (!entry.getKey().equals(self) && !Double.isNaN(totals.previousAtMs)) {
                double ageMs = Math.max(0, nowMs - totals.lastAtMs);
                sum += totals.perSecond() * Math.pow(0.5, ageMs / halfLifeMs);
            }
        }
        return sum;
    }

    /**
     * Returns this gatherer's own counters, the most recently changed first.
     *
     * @param max maximum number of counters, as many as fit into a message
     */
    public List<CounterValue> ownCounters(int max) {
        var own = new ArrayList<CounterValue>();
        ownChangedAtMs.entrySet().stream()
                .sorted(
                        Map.Entry.<String, Double>comparingByValue(Comparator.reverseOrder())
                                .thenComparing(Map.Entry.comparingByKey()))
                .limit(max)
                .map(Map.Entry::getKey)
                .forEach(key -> own.add(ownCounter(key)));
        return own;
    }

    private CounterValue ownCounter(String key) {
        long total = totals(key, self).byGeneration.get(generation);
        return new CounterValue(self, generation, key, total);
    }
}
