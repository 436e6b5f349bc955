package sprucehold.rig.script;

import java.util.List;
import sprucehold.decision.Deployment;
import sprucehold.decision.QueryClass;

/**
 * Describes a run.
 *
 * @param lengthS how long clients send queries, in seconds
 * @param segments number of segments, spread over the replica groups
 * @param cells number of replica groups
 * @param tableTypes the query classes
 * @param customers the tenants
 * @param coldRule the load at which a server that has just started crashes
 * @param budget retry budget of each gatherer, or {@link Deployment.RetryBudget#NONE}
 * @param frontLearnsMs how long a front continues to send clients to a gatherer that is gone, in
 *     milliseconds
 * @param bands the ranges that the figures must lie in; the rules apply independently of them
 * @param together the limits that gatherers share, or null if they don't exchange messages
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
    /**
     * The largest number of gatherers that the rig has addresses for; {@link #MAX_SERVERS} is that
     * of shard servers.
     */
    public static final int MAX_GATHERERS = 4096;

    public static final int MAX_SERVERS = 4096;

    /** A script whose gatherers don't exchange messages. */
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

    /**
     * A site.
     *
     * @param gatherers number of its gatherers
     * @param holders number of its shard servers in each replica group
     */
    public record Site(String name, int gatherers, int holders) {}

    /**
     * A query class and its cost.
     *
     * @param timeoutMs how long its clients wait for an answer, in milliseconds
     * @param workMs median processing time of a part on one core of a warm server, in milliseconds
     * @param spread standard deviation of the logarithm of that time
     */
    public record Kind(QueryClass type, double timeoutMs, double workMs, double spread) {}

    /**
     * A tenant.
     *
     * @param scansPerS its quota over all gatherers, in queries per second
     */
    public record Customer(String name, double scansPerS) {}

    /**
     * Properties that all shard servers have in common.
     *
     * @param queueMost number of parts that may wait beyond those in progress; further parts are
     *     rejected
     * @param connectionsMost number of open connections per server; further connections are closed
     *     at once
     */
    public record Servers(int cores, int queueMost, int connectionsMost) {}

    /** Limits of a gatherer; see {@link Deployment.Limits}. */
    public record Limits(
            int dispatchesPerPart,
            int maxOpen,
            boolean secondCopies,
            double comeBackMs,
            int sockets) {}

    /**
     * Queries of one tenant, query class and site.
     *
     * @param scansPerS rate at the start, in queries per second
     * @param parts number of segments that each query reads
     * @param popular exponent of the Zipf distribution by which segments are chosen, 0 for equal
     *     frequencies
     * @param ramps changes of the rate
     * @param retries how often a client sends a query again after a rejection
     * @param backOffMs shortest wait before the first retry, in milliseconds; it doubles with each
     *     retry
     * @param leavesMs after how many milliseconds without an answer the client closes its
     *     connection, infinite for never
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

    /**
     * The rate from a time on.
     *
     * @param atS time, in seconds since the start of the load
     * @param scansPerS rate, in queries per second
     */
    public record Ramp(double atS, double scansPerS) {}

    /**
     * The ranges of the figures.
     *
     * @param leastService smallest share of queries that have to be completed within their latency
     *     objective
     */
    public record Bands(double leastService) {}

    /**
     * The limits that gatherers share by exchanging messages; see deploy/together.schema.json.
     *
     * @param further number of attempts beyond each part's first that all gatherers together may
     *     make within {@code furtherWindowMs}; 0 for no limit
     * @param driftPpm largest drift of the clocks' rates, in parts per million
     * @param clocksOffMs largest offset of the wall clocks, in milliseconds
     */
    public record Together(
            int further, double furtherWindowMs, double driftPpm, double clocksOffMs) {}

    /**
     * Returns this script for gatherers that don't exchange messages. A retry budget of all
     * gatherers is replaced by fixed equal shares, which is also what a gatherer without messages
     * from the others may use.
     */
    public Script withoutCluster() {
        int gatherers = sites.stream().mapToInt(Site::gatherers).sum();
        var share =
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
                share,
                frontLearnsMs,
                load,
                faults,
                bands,
                null);
    }

    /** Returns the deployment that the gatherers of a site are configured with. */
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

    /** Returns this script with other faults. */
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

    /** Returns this script with other bands. */
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
