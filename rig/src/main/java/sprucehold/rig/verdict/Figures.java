package sprucehold.rig.verdict;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.HdrHistogram.Histogram;

/**
 * The figures of a run. Unlike the rules, they may differ between runs of one plan.
 *
 * @param scans number of queries
 * @param service share of queries that were completed within their latency objective
 * @param ends number of queries by how they ended
 * @param p50Ms median time from the planned start of a completed query to its end, in milliseconds;
 *     {@code p99Ms} is the 99th percentile
 * @param sendLateP99Ms 99th percentile of the delay with which the rig sent queries, in
 *     milliseconds
 * @param loopLateP99Ms 99th percentile of the lateness of the rig's timers, in milliseconds; {@code
 *     loopLateMostMs} is the maximum
 * @param rigCores number of cores that the rig itself used
 * @param memoryMb largest memory use of any gatherer that was observed, in megabytes
 * @param gathererCores number of cores that the busiest gatherer used in its last life
 * @param coldMost the highest load on any server while it was cold, as a share of the load at which
 *     it crashes
 */
public record Figures(
        int scans,
        double service,
        Map<String, Long> ends,
        double p50Ms,
        double p99Ms,
        double sendLateP99Ms,
        double loopLateP99Ms,
        double loopLateMostMs,
        double rigCores,
        double memoryMb,
        double gathererCores,
        double coldMost) {

    /** The rig's measurements of itself, of its gatherers and of its shard servers. */
    public record Self(
            double loopLateP99Ms,
            double loopLateMostMs,
            double rigCores,
            double memoryMb,
            double gathererCores,
            double coldMost) {}

    public static Figures of(List<Outcome> outcomes, Self self) {
        var times = new Histogram(3);
        var late = new Histogram(3);
        outcomes.stream()
                .filter(Outcome::completed)
                .forEach(
                        one ->
                                times.recordValue(
                                        Math.max(
                                                0,
                                                Math.round(
                                                        1000
                                                                * (one.endedMs()
                                                                        - one.plannedMs())))));
        outcomes.forEach(one -> late.recordValue(Math.max(0, Math.round(1000 * one.sentLateMs()))));
        double inTime = outcomes.stream().filter(Outcome::inTime).count();
        return new Figures(
                outcomes.size(),
                outcomes.isEmpty() ? 0 : inTime / outcomes.size(),
                outcomes.stream()
                        .collect(
                                Collectors.groupingBy(
                                        Outcome::end, TreeMap::new, Collectors.counting())),
                times.getValueAtPercentile(50) / 1000.0,
                times.getValueAtPercentile(99) / 1000.0,
                late.getValueAtPercentile(99) / 1000.0,
                self.loopLateP99Ms(),
                self.loopLateMostMs(),
                self.rigCores(),
                self.memoryMb(),
                self.gathererCores(),
                self.coldMost());
    }
}
