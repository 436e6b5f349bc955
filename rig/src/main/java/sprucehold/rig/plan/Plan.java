package sprucehold.rig.plan;

import java.util.List;
import java.util.Map;
import sprucehold.rig.script.Fault;

/**
 * The plan of a run, drawn from a script and a seed.
 *
 * @param asks all queries that clients will send, by time
 * @param faults in the order of the script, with the names of their targets
 */
public record Plan(
        long seed,
        List<Gatherer> gatherers,
        List<Server> servers,
        List<PlannedQuery> asks,
        List<TargetedFault> faults) {

    /**
     * A gatherer.
     *
     * @param seed the seed that its process is started with
     * @param clocks the errors of its clocks when it starts
     */
    public record Gatherer(String name, String site, long seed, Clocks clocks) {}

    /**
     * The errors of a process's clocks.
     *
     * @param offMs offset of its wall clock, in milliseconds
     * @param driftPpm by how much its monotonic clock runs too fast, in parts per million
     * @param jumpMs by how many milliseconds its wall clock jumps, six seconds after the start of
     *     the process
     */
    public record Clocks(double offMs, double driftPpm, double jumpMs) {
        /** Clocks without errors. */
        public static final Clocks EXACT = new Clocks(0, 0, 0);

        /** Returns these errors with those of a clock fault added. */
        public Clocks and(Fault fault) {
            return switch (fault.kind()) {
                case CLOCK_OFF -> new Clocks(offMs + fault.amount(), driftPpm, jumpMs);
                case CLOCK_DRIFT -> new Clocks(offMs, driftPpm + fault.amount(), jumpMs);
                case CLOCK_JUMP -> new Clocks(offMs, driftPpm, jumpMs + fault.amount());
                default -> this;
            };
        }
    }

    /**
     * A shard server.
     *
     * @param cell its replica group
     * @param seed seed from which the durations of its work are drawn
     */
    public record Server(String name, String site, int cell, long seed) {}

    /**
     * A query that a client will send.
     *
     * @param atMs when it is sent, in milliseconds since the start of the load
     * @param load index of the script's load line that it belongs to
     * @param weights weights of its parts, by segment
     */
    public record PlannedQuery(double atMs, String id, int load, Map<Integer, Double> weights) {}

    /**
     * A fault and its targets.
     *
     * @param of names of the targets, or of one end of the links
     * @param to names of the parties that the script's {@code to} selects; see {@link Fault}
     */
    public record TargetedFault(Fault fault, List<String> of, List<String> to) {}
}
