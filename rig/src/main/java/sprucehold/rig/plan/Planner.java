package sprucehold.rig.plan;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.ListSampler;
import org.apache.commons.rng.sampling.distribution.RejectionInversionZipfSampler;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;
import org.apache.commons.rng.simple.RandomSource;
import sprucehold.rig.script.Fault;
import sprucehold.rig.script.Parties;
import sprucehold.rig.script.Script;

/** Draws the plan of a run from a script and a seed. */
public final class Planner {
    private final Script script;
    private final Parties parties;
    private final long seed;

    private Planner(Script script, long seed) {
        this.script = script;
        this.parties = Parties.of(script);
        this.seed = seed;
    }

    public static Plan plan(Script script, long seed) {
        return new Planner(script, seed).plan();
    }

    /** Returns the plan as JSON, byte for byte the same for the same script and seed. */
    public static byte[] json(Plan plan) {
        try {
            return JsonMapper.builder()
                    .enable(SerializationFeature.INDENT_OUTPUT)
                    .enable(SerializationFeature.ORDER_MAP_ENTRIES_BY_KEYS)
                    .build()
                    .writeValueAsBytes(plan);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("the plan could not be written as JSON", e);
        }
    }

    /**
     * Returns a separate random generator for each drawn item, so that one more query in the script
     * does not change the other draws.
     */
    private UniformRandomProvider random(String item, int number) {
        return RandomSource.XO_RO_SHI_RO_128_PP.create(
                seed * 0x9E3779B97F4A7C15L + 31L * item.hashCode() + number);
    }

    private Plan plan() {
        var faults = new ArrayList<Plan.TargetedFault>();
        for (int i = 0; i < script.faults().size(); i++) {
            Fault fault = script.faults().get(i);
            List<String> of = select(fault.of());
            if (fault.some() > 0) {
                of = new ArrayList<>(of);
                // Seeded by the fault's name, so that the fault selects the same targets even if
                // other faults are dropped from the script.
                ListSampler.shuffle(random("fault " + fault.name(), 0), of);
                of = of.subList(0, fault.some()).stream().sorted().toList();
            }
            faults.add(new Plan.TargetedFault(fault, of, select(fault.to())));
        }
        var gatherers = new ArrayList<Plan.Gatherer>();
        for (String name : parties.gatherers()) {
            Plan.Clocks clocks = Plan.Clocks.EXACT;
            for (Plan.TargetedFault f : faults) {
                if (f.fault().when() == null && f.fault().atS() == 0 && f.of().contains(name)) {
                    clocks = clocks.and(f.fault());
                }
            }
            gatherers.add(
                    new Plan.Gatherer(
                            name,
                            parties.siteOf().get(name),
                            random("gatherer", gatherers.size()).nextLong(),
                            clocks));
        }
        var servers = new ArrayList<Plan.Server>();
        for (String name : parties.servers()) {
            int replicaGroup = Integer.parseInt(name.split("-")[2]);
            servers.add(
                    new Plan.Server(
                            name,
                            parties.siteOf().get(name),
                            replicaGroup,
                            random("server", servers.size()).nextLong()));
        }
        var queries = new ArrayList<Plan.PlannedQuery>();
        for (int i = 0; i < script.load().size(); i++) {
            drawQueries(i, queries);
        }
        queries.sort(
                Comparator.comparingDouble(Plan.PlannedQuery::atMs)
                        .thenComparing(Plan.PlannedQuery::id));
        return new Plan(
                seed,
                List.copyOf(gatherers),
                List.copyOf(servers),
                List.copyOf(queries),
                List.copyOf(faults));
    }

    private List<String> select(List<String> groups) {
        return groups.stream().flatMap(name -> parties.select(name).stream()).distinct().toList();
    }

    /**
     * Adds the queries of one load line: Poisson arrivals with a changing rate, drawn at the
     * highest rate and thinned (Lewis and Shedler).
     */
    private void drawQueries(int line, List<Plan.PlannedQuery> queries) {
        Script.Load load = script.load().get(line);
        UniformRandomProvider random = random("load", line);
        double maxRate =
                Math.max(
                        load.scansPerS(),
                        load.ramps().stream().mapToDouble(Script.Ramp::scansPerS).max().orElse(0));
        if (maxRate <= 0) {
            return;
        }
        var interval = ZigguratSampler.Exponential.of(random, 1 / maxRate);
        for (double at = interval.sample(); at < script.lengthS(); at += interval.sample()) {
            double draw = random.nextDouble();
            String id = String.format(Locale.ROOT, "%016x", random.nextLong());
            Map<Integer, Double> weights = weights(load, random);
            if (draw < rate(load, at) / maxRate) {
                queries.add(new Plan.PlannedQuery(at * 1000, id, line, weights));
            }
        }
    }

    private static double rate(Script.Load load, double atS) {
        double rate = load.scansPerS();
        double since = Double.NEGATIVE_INFINITY;
        for (Script.Ramp ramp : load.ramps()) {
            if (ramp.atS() <= atS && ramp.atS() >= since) {
                since = ramp.atS();
                rate = ramp.scansPerS();
            }
        }
        return rate;
    }

    /**
     * Returns distinct segments with equal weights. If the load has popular segments, those with
     * low numbers are drawn more often.
     */
    private Map<Integer, Double> weights(Script.Load load, UniformRandomProvider random) {
        var weights = new TreeMap<Integer, Double>();
        var zipf =
                load.popular() > 0
                        ? RejectionInversionZipfSampler.of(
                                random, script.segments(), load.popular())
                        : null;
        while (weights.size() < load.parts()) {
            weights.put(
                    zipf == null ? random.nextInt(script.segments()) : zipf.sample() - 1,
                    1.0 / load.parts());
        }
        return weights;
    }
}
