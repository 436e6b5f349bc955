package sprucehold.rig.plan;

import java.util.List;
import java.util.Map;
import sprucehold.rig.script.Fault;

/**
 * A run, drawn.
 *
 * @param asks all scans in the order of their times
 * @param faults in the order of the script, their groups resolved
 */
public record Plan(
        long seed,
        List<Gatherer> gatherers,
        List<Server> servers,
        List<Ask> asks,
        List<Befall> faults) {

    /** A gatherer: its name, site, the seed it is given, and its clocks at its start. */
    public record Gatherer(String name, String site, long seed, Clocks clocks) {}

    /**
     * How a process's clocks are wrong.
     *
     * @param offMs how far its wall clock is off
     * @param driftPpm how much too fast its counting clock runs, in parts of a million
     * @param jumpMs by how much its wall clock jumps some seconds after the start
     */
    public record Clocks(double offMs, double driftPpm, double jumpMs) {
        /** As they should be. */
        public static final Clocks RIGHT = new Clocks(0, 0, 0);

        /** These, and wrong by a fault as well. */
        public Clocks and(Fault fault) {
            return switch (fault.kind()) {
                case CLOCK_OFF -> new Clocks(offMs + fault.amount(), driftPpm, jumpMs);
                case CLOCK_DRIFT -> new Clocks(offMs, driftPpm + fault.amount(), jumpMs);
                case CLOCK_JUMP -> new Clocks(offMs, driftPpm, jumpMs + fault.amount());
                default -> this;
            };
        }
    }

    /** A shard server; {@code seed} draws the lengths of its work. */
    public record Server(String name, String site, int cell, long seed) {}

    /**
     * A scan that a client will ask.
     *
     * @param atMs when, in milliseconds from the first moment of the run
     * @param weights of its parts, by segment
     * @param load the line of the script's load that it comes from
     */
    public record Ask(double atMs, String id, int load, Map<Integer, Double> weights) {}

    /** A fault with those whom it befalls by name. */
    public record Befall(Fault fault, List<String> of, List<String> to) {}
}
