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
public record Plan(long seed, List<Gatherer> gatherers, List<Server> servers, List<Ask> asks, List<Befall> faults) {

    /** A gatherer: its name, site, the seed it is given, and how far its wall clock is off at its start, in milliseconds. */
    public record Gatherer(String name, String site, long seed, double clockOffMs) {
    }

    /** A shard server; {@code seed} draws the lengths of its work. */
    public record Server(String name, String site, int cell, long seed) {
    }

    /**
     * A scan that a client will ask.
     *
     * @param atMs when, in milliseconds from the first moment of the run
     * @param weights of its parts, by segment
     * @param load the line of the script's load that it comes from
     */
    public record Ask(double atMs, String id, int load, Map<Integer, Double> weights) {
    }

    /** A fault with those whom it befalls by name. */
    public record Befall(Fault fault, List<String> of, List<String> to) {
    }
}
