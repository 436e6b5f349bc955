package sprucehold.cluster.counter;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Counters of a fleet as one gatherer knows them: a grow-only counter (G-Counter; Shapiro and
 * others 2011) for each key. Each gatherer counts up its own alone; of others' the greatest total
 * heard of each generation counts, so that what comes twice, late or in another order changes
 * nothing, and all who have heard the same know the same. A restart begins a new generation at 0
 * and takes nothing back of what earlier ones counted.
 */
public final class CounterTable {
    /**
     * Generations of one gatherer that are told apart; earlier ones are kept as one sum, to which
     * late messages add nothing.
     */
    private static final int MAX_GENERATIONS = 4;

    /** Two totals heard closer than that tell no rate. */
    private static final double MIN_RATE_SPAN_MS = 200;

    /** One gatherer's totals of one key. */
    private static final class Totals {
        final TreeMap<Long, Long> byGeneration = new TreeMap<>();

        /** The sum of generations that are no longer told apart, and the latest of them. */
        long earlierTotal;

        long latestEarlier = Long.MIN_VALUE;

        /** The sum at the two latest moments at which it grew, and when. */
        long previousSum;

        double previousAtMs = Double.NaN;
        long lastSum;
        double lastAtMs = Double.NaN;

        long sum() {
            return earlierTotal + byGeneration.values().stream().mapToLong(total -> total).sum();
        }

        void foldEarliest() {
            while (byGeneration.size() > MAX_GENERATIONS) {
                Map.Entry<Long, Long> first = byGeneration.pollFirstEntry();
                earlierTotal += first.getValue();
                latestEarlier = first.getKey();
            }
        }

        void noteSum(double nowMs) {
            if (Double.isNaN(lastAtMs) || nowMs - lastAtMs >= MIN_RATE_SPAN_MS) {
                previousSum = lastSum;
                previousAtMs = lastAtMs;
                lastAtMs = nowMs;
            }
            lastSum = sum();
        }

        /** Units a second between the two latest moments. */
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
     * @param halfLifeMs a rate heard so long ago counts half, twice as long ago a quarter
     */
    public CounterTable(String self, long generation, double halfLifeMs) {
        this.self = self;
        this.generation = generation;
        this.halfLifeMs = halfLifeMs;
    }

    /** Counts up this gatherer's own. */
    public void add(double nowMs, String key, long units) {
        long own = totals(key, self).byGeneration.getOrDefault(generation, 0L);
        merge(nowMs, new CounterValue(self, generation, key, own + units));
        ownChangedAtMs.put(key, nowMs);
    }

    /** Takes another's counter, or what came back of this gatherer's earlier generations. */
    public void receive(double nowMs, CounterValue counter) {
        // Nobody else counts for this generation.
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
        totals.foldEarliest();
        totals.noteSum(nowMs);
    }

    /** Everything counted of a key by all, as far as heard: never more than is true. */
    public long total(String key) {
        return byKey.getOrDefault(key, Map.of()).values().stream().mapToLong(Totals::sum).sum();
    }

    /**
     * Units a second that others count of a key: of each what it last grew by, fading with the age
     * of that.
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
     * This gatherer's own counters, those first that changed last.
     *
     * @param max what fits into a message
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
