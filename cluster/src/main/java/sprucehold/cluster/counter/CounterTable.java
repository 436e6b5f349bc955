package sprucehold.cluster.counter;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Counts over a fleet as one gatherer knows them. Each gatherer counts up its own alone; of others'
 * the greatest total heard of each life counts, so that what comes twice, late or in another order
 * changes nothing, and all who have heard the same know the same. A restart begins a new life at
 * nought and takes nothing back of what earlier ones counted.
 */
public final class CounterTable {
    /**
     * Lives of one gatherer that are told apart; earlier ones are kept as one sum, to which late
     * news add nothing.
     */
    private static final int MAX_GENERATIONS = 4;

    /** Differences between two pieces of news closer than that tell no rate. */
    private static final double MIN_RATE_SPAN_MS = 200;

    /** One gatherer's totals of one key. */
    private static final class Line {
        final TreeMap<Long, Long> byLife = new TreeMap<>();
        long earlier;
        long earliest = Long.MIN_VALUE;

        /** The sum at the two latest moments at which it grew, and when. */
        long before;

        double beforeMs = Double.NaN;
        long last;
        double lastMs = Double.NaN;

        long sum() {
            return earlier + byLife.values().stream().mapToLong(total -> total).sum();
        }
    }

    private final String self;
    private final long generation;
    private final double halfLifeMs;
    private final Map<String, Map<String, Line>> byKey = new TreeMap<>();
    private final Map<String, Double> changedMs = new HashMap<>();

    /**
     * @param halfMs a rate heard so long ago counts half, twice as long ago a quarter
     */
    public CounterTable(String self, long life, double halfMs) {
        this.self = self;
        this.generation = life;
        this.halfLifeMs = halfMs;
    }

    /** Counts up this gatherer's own. */
    public void add(double nowMs, String key, long units) {
        Long own = line(key, self).byLife.get(generation);
        merge(nowMs, new CounterValue(self, generation, key, (own == null ? 0 : own) + units));
        changedMs.put(key, nowMs);
    }

    /** Takes news of another, or what came back of its own. */
    public void receive(double nowMs, CounterValue count) {
        // Nobody else counts for this life.
        if (!count.gatherer().equals(self) || count.generation() != generation) {
            merge(nowMs, count);
        }
    }

    private Line line(String key, String gatherer) {
        return byKey.computeIfAbsent(key, none -> new TreeMap<>())
                .computeIfAbsent(gatherer, none -> new Line());
    }

    private void merge(double nowMs, CounterValue count) {
        Line line = line(count.key(), count.gatherer());
        if (count.generation() <= line.earliest
                || count.total() <= line.byLife.getOrDefault(count.generation(), 0L)) {
            return;
        }
        line.byLife.put(count.generation(), count.total());
        while (line.byLife.size() > MAX_GENERATIONS) {
            var first = line.byLife.pollFirstEntry();
            line.earlier += first.getValue();
            line.earliest = first.getKey();
        }
        if (Double.isNaN(line.lastMs) || nowMs - line.lastMs >= MIN_RATE_SPAN_MS) {
            line.before = line.last;
            line.beforeMs = line.lastMs;
            line.lastMs = nowMs;
        }
        line.last = line.sum();
    }

    /** Everything counted of a key by all, as far as heard: never more than is true. */
    public long total(String key) {
        return byKey.getOrDefault(key, Map.of()).values().stream().mapToLong(Line::sum).sum();
    }

    /**
     * Units a second that others count of a key: of each what it last grew by, fading with the age
     * of that news.
     */
    public double othersPerSecond(double nowMs, String key) {
        double sum = 0;
        for (var one : byKey.getOrDefault(key, Map.of()).entrySet()) {
            Line line = one.getValue();
            if (!one.getKey().equals(self) && !Double.isNaN(line.beforeMs)) {
                double rate =
                        1000
                                * (line.last - line.before)
                                / Math.max(MIN_RATE_SPAN_MS, line.lastMs - line.beforeMs);
                sum += rate * Math.pow(0.5, Math.max(0, nowMs - line.lastMs) / halfLifeMs);
            }
        }
        return sum;
    }

    /**
     * This gatherer's own counts, those first that changed last: what fits into a message goes
     * along.
     */
    public List<CounterValue> ownCounters(int most) {
        var own = new ArrayList<CounterValue>();
        changedMs.entrySet().stream()
                .sorted(
                        Map.Entry.<String, Double>comparingByValue(Comparator.reverseOrder())
                                .thenComparing(Map.Entry.comparingByKey()))
                .limit(most)
                .forEach(
                        one ->
                                own.add(
                                        new CounterValue(
                                                self,
                                                generation,
                                                one.getKey(),
                                                line(one.getKey(), self).byLife.get(generation))));
        return own;
    }
}
