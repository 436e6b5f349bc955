package sprucehold.rig.verdict;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.HdrHistogram.Histogram;

/**
 * The figures of a run; they may differ from run to run, the rules may not.
 *
 * @param service share of scans completed in their target time
 * @param ends how many scans ended in each way
 * @param p50Ms of the times of completed scans, from when they were to be asked; {@code p99Ms}
 *     likewise
 * @param sendLateP99Ms how late the rig sent, at the 99th percentile
 * @param loopLateP99Ms how late the rig's timers were, at the 99th percentile; {@code
 *     loopLateMostMs} at worst
 * @param rigCores how many cores the rig used itself
 * @param memoryMb the most memory that any gatherer was seen to hold
 * @param gathererCores how many cores the busiest gatherer used over its last life
 * @param coldMost the most that any server was pushed while cold, as a share of what pushes it over
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

    /** What the rig measures of itself, of its gatherers and of its shard servers. */
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
