package sprucehold.rig.verdict;

import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToDoubleFunction;

/**
 * Minimum, median and maximum of a figure over runs of one plan. The bands of a script are derived
 * from it.
 *
 * @param least minimum, in the unit of the figure, as are {@code median} and {@code most}
 */
public record Spread(double least, double median, double most) {

    /**
     * Returns the spread of each figure over all runs, by the name of the figure; empty if there
     * are no runs.
     */
    public static Map<String, Spread> of(List<Figures> runs) {
        var spreads = new LinkedHashMap<String, Spread>();
        if (!runs.isEmpty()) {
            spreads.put("in target time", of(runs, Figures::service));
            spreads.put("p50 ms", of(runs, Figures::p50Ms));
            spreads.put("p99 ms", of(runs, Figures::p99Ms));
            spreads.put("sent late, p99 ms", of(runs, Figures::sendLateP99Ms));
            spreads.put("timers late, p99 ms", of(runs, Figures::loopLateP99Ms));
            spreads.put("timers late, worst ms", of(runs, Figures::loopLateMostMs));
            spreads.put("cores of the rig", of(runs, Figures::rigCores));
            spreads.put("largest gatherer, MB", of(runs, Figures::memoryMb));
        }
        return spreads;
    }

    private static Spread of(List<Figures> runs, ToDoubleFunction<Figures> figure) {
        double[] sorted = runs.stream().mapToDouble(figure).sorted().toArray();
        int middle = sorted.length / 2;
        double median =
                sorted.length % 2 == 1 ? sorted[middle] : (sorted[middle - 1] + sorted[middle]) / 2;
        return new Spread(sorted[0], median, Arrays.stream(sorted).max().orElseThrow());
    }
}
