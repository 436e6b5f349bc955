package sprucehold.rig.script;

import java.util.List;
import sprucehold.decision.Deployment;
import sprucehold.decision.QueryClass;

/**
 * What a run is to be.
 *
 * @param lengthS how long clients ask, in seconds
 * @param segments how many segments there are, spread over {@code cells}
 * @param coldRule by what a server that has just started falls over
 * @param budget the most further dispatches, or {@link Deployment.RetryBudget#NONE}
 * @param frontLearnsMs how long a front goes on sending clients to a gatherer that is gone
 * @param bands what the figures have to be; rules hold whatever they say
 * @param together what its gatherers share with each other, or null where they don't talk
 */
public record Script(
        String name,
        double lengthS,
        List<Site> sites,
        int segments,
        int cells,
        List<Kind> tableTypes,
        List<Customer> customers,
        Servers servers,
        Limits limits,
        Deployment.SlowStartRule coldRule,
        Deployment.RetryBudget budget,
        double frontLearnsMs,
        List<Load> load,
        List<Fault> faults,
        Bands bands,
        Together together) {
    /** As many gatherers, and as many shard servers, as the rig has addresses for. */
    public static final int MOST_GATHERERS = 4096;

    public static final int MOST_SERVERS = 4096;

    /** One whose gatherers don't talk. */
    public Script(
            String name,
            double lengthS,
            List<Site> sites,
            int segments,
            int cells,
            List<Kind> tableTypes,
            List<Customer> customers,
            Servers servers,
            Limits limits,
            Deployment.SlowStartRule coldRule,
            Deployment.RetryBudget budget,
            double frontLearnsMs,
            List<Load> load,
            List<Fault> faults,
            Bands bands) {
        this(
                name,
                lengthS,
                sites,
                segments,
                cells,
                tableTypes,
                customers,
                servers,
                limits,
                coldRule,
                budget,
                frontLearnsMs,
                load,
                faults,
                bands,
                null);
    }

    /** A site: how many gatherers stand there, and how many shard servers hold each cell. */
    public record Site(String name, int gatherers, int holders) {}

    /**
     * A table type and the work it makes.
     *
     * @param timeoutMs how long its clients wait
     * @param workMs the median of a part's time on one core of a warm server, in milliseconds
     * @param spread the standard deviation of that time's logarithm
     */
    public record Kind(QueryClass type, double timeoutMs, double workMs, double spread) {}

    /** A customer and the scans a second it is entitled to over the fleet. */
    public record Customer(String name, double scansPerS) {}

    /**
     * Shard servers, all alike.
     *
     * @param queueMost parts that wait beyond those that run; more are turned away
     * @param connectionsMost connections that a server holds; more are closed at once
     */
    public record Servers(int cores, int queueMost, int connectionsMost) {}

    /** What a gatherer may do; see {@link Deployment.Limits}. */
    public record Limits(
            int dispatchesPerPart,
            int maxOpen,
            boolean secondCopies,
            double comeBackMs,
            int sockets) {}

    /**
     * Scans of one customer, table type and site.
     *
     * @param scansPerS at first
     * @param parts how many segments each asks
     * @param popular the exponent by which some segments are asked more often than others, 0 for
     *     none
     * @param ramps rates that hold from a time on
     * @param retries how often a client asks again after it was throttled
     * @param backOffMs its least wait before the first, twice as long each time
     * @param leavesMs when it closes its connection unanswered, or infinite
     */
    public record Load(
            String site,
            String customer,
            String tableType,
            double scansPerS,
            int parts,
            double popular,
            List<Ramp> ramps,
            int retries,
            double backOffMs,
            double leavesMs) {}

    /** The rate from a time on, in seconds and scans a second. */
    public record Ramp(double atS, double scansPerS) {}

    /**
     * @param leastService the least share of scans that have to be completed in their target time
     */
    public record Bands(double leastService) {}

    /**
     * What gatherers that talk share; see deploy/together.schema.json.
     *
     * @param further dispatches beyond each part's first that all may make within {@code
     *     furtherWindowMs}; 0 for no such bound
     * @param driftPpm how far clocks' rates may be off, in parts of a million, and {@code
     *     clocksOffMs} how far wall clocks
     */
    public record Together(
            int further, double furtherWindowMs, double driftPpm, double clocksOffMs) {}

    /**
     * The same with gatherers that don't talk: of a bound over the fleet each has the same part for
     * good, as it has to where nobody tells it more.
     */
    public Script alone() {
        int gatherers = sites.stream().mapToInt(Site::gatherers).sum();
        var part =
                together == null || together.further == 0
                        ? budget
                        : new Deployment.RetryBudget(
                                together.further / gatherers, 0, together.furtherWindowMs);
        return new Script(
                name,
                lengthS,
                sites,
                segments,
                cells,
                tableTypes,
                customers,
                servers,
                limits,
                coldRule,
                part,
                frontLearnsMs,
                load,
                faults,
                bands,
                null);
    }

    /** The deployment as a gatherer at this site is told of it. */
    public Deployment deployment(String site) {
        return new Deployment(
                sites.stream().mapToInt(Site::gatherers).sum(),
                site,
                5,
                0.2,
                tableTypes.stream().map(Kind::type).toList(),
                customers.stream()
                        .map(c -> new sprucehold.decision.Tenant(c.name(), c.scansPerS()))
                        .toList(),
                new Deployment.ShardLayout(cells, 1, 1),
                new Deployment.Limits(
                        limits.dispatchesPerPart(),
                        limits.maxOpen(),
                        limits.secondCopies(),
                        true,
                        limits.comeBackMs()),
                coldRule,
                budget,
                new Deployment.EndpointSubscription(false, 10_000));
    }

    /** This script with other faults. */
    public Script with(List<Fault> others) {
        return new Script(
                name,
                lengthS,
                sites,
                segments,
                cells,
                tableTypes,
                customers,
                servers,
                limits,
                coldRule,
                budget,
                frontLearnsMs,
                load,
                others,
                bands,
                together);
    }

    /** The same with other bands. */
    public Script with(Bands others) {
        return new Script(
                name,
                lengthS,
                sites,
                segments,
                cells,
                tableTypes,
                customers,
                servers,
                limits,
                coldRule,
                budget,
                frontLearnsMs,
                load,
                faults,
                others,
                together);
    }
}
