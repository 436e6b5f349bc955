package sprucehold.benchmarks;

import com.sun.management.ThreadMXBean;
import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Queue;
import java.util.function.IntFunction;
import java.util.function.ToDoubleFunction;
import java.util.stream.IntStream;
import org.apache.commons.math3.stat.regression.SimpleRegression;
import sprucehold.decision.AttemptOutcome;
import sprucehold.decision.Command;
import sprucehold.decision.DecisionPolicy;
import sprucehold.decision.Deployment;
import sprucehold.decision.Endpoint;
import sprucehold.decision.Event;
import sprucehold.decision.QueryClass;
import sprucehold.policy.QueryScheduler;

/**
 * Measures the processor time and the allocation of decisions per query, by number of parts, of
 * listed shard servers and of other open queries. Every attempt completes at once, with one event
 * per call, on one thread. For each series, the growth is the slope of a least-squares line through
 * the logarithms, printed with its standard error. Arguments: {@code --quick} for smaller sizes,
 * {@code --csv FILE} to write the raw results.
 */
public final class DecisionCost {
    private static final ThreadMXBean THREADS = (ThreadMXBean) ManagementFactory.getThreadMXBean();

    /**
     * Minimum processor time in milliseconds for which each size is measured. At least {@link
     * #MIN_QUERIES} queries are run. A warm-up of the same length precedes each measurement.
     */
    private static final long MEASURE_MS = 1500;

    private static final int MIN_QUERIES = 5;
    private static final int TARGET_MS = 1000;

    /** Time between queries in ms, so that timers of past queries expire as they do in service. */
    private static final double GAP_MS = 20;

    private static final QueryClass MEASURED_CLASS =
            new QueryClass(
                    "asked", QueryClass.Idempotence.IDEMPOTENT, TARGET_MS, 1, 0.1, 0, 1, 1, 0);

    /** Class of the queries that stay open: its timers never expire during a measurement. */
    private static final QueryClass OPEN_CLASS =
            new QueryClass("open", QueryClass.Idempotence.IDEMPOTENT, 1e12, 1, 0.1, 0, 1, 1, 0);

    private static final int PARTS_OF_AN_OPEN_QUERY = 4;

    /** Numbers of parts per query, of listed shard servers and of other open queries. */
    private record Size(int parts, int servers, int open) {}

    /**
     * Mean cost per query of a size; {@code receivingUs} is the part of {@code cpuUs} for receiving
     * the query.
     */
    private record Cost(
            Size size, int queries, double cpuUs, double receivingUs, double allocatedKb) {}

    private final DecisionPolicy decisions;
    private double now = 1_000_000;
    private long queries;

    private DecisionCost(Size size) {
        // Each shard has two servers. There are at least as many shards as parts, so that no two
        // parts of a query share a server.
        int shards = size.servers / 2;
        var deployment =
                new Deployment(
                        1,
                        "z",
                        5,
                        0.2,
                        List.of(MEASURED_CLASS, OPEN_CLASS),
                        List.of(),
                        new Deployment.ShardLayout(shards, 1, 1),
                        new Deployment.Limits(3, Integer.MAX_VALUE, true, true, 500),
                        new Deployment.SlowStartRule(0.2, 10_000, 2, 1000),
                        Deployment.RetryBudget.NONE,
                        new Deployment.EndpointSubscription(false, 10_000));
        decisions = new QueryScheduler(1, deployment);
        var listed = new ArrayList<Endpoint>();
        for (int server = 0; server < size.servers; server++) {
            listed.add(
                    new Endpoint(
                            String.format(Locale.ROOT, "s-%05d", server),
                            server % shards,
                            "z",
                            0,
                            Endpoint.State.RUNNING));
        }
        decisions.decide(now, List.of(new Event.EndpointsUpdated(true, listed)));
        for (int i = 0; i < size.open; i++) {
            int first = i * PARTS_OF_AN_OPEN_QUERY;
            decisions.decide(
                    now,
                    received(
                            OPEN_CLASS,
                            PARTS_OF_AN_OPEN_QUERY,
                            part -> (first + part) % shards,
                            1e13));
        }
    }

    private List<Event> received(
            QueryClass type, int parts, IntFunction<Integer> shardOfPart, double timeLeftMs) {
        long number = ++queries;
        var events = new ArrayList<Event>(parts + 1);
        events.add(new Event.QueryReceived("q" + number, number, type, null, timeLeftMs));
        for (int part = 0; part < parts; part++) {
            events.add(
                    new Event.PartReceived(
                            "q" + number + "." + part,
                            number,
                            shardOfPart.apply(part),
                            1.0 / parts));
        }
        return events;
    }

    /** Runs one query to its end. Returns the processor time of receiving it, in nanoseconds. */
    private long query(int parts) {
        now += GAP_MS;
        decisions.decide(now, List.of(new Event.WakeUp()));
        List<Event> received = received(MEASURED_CLASS, parts, part -> part, 2 * TARGET_MS);
        long before = THREADS.getCurrentThreadCpuTime();
        Queue<Command.SendAttempt> attempts = new ArrayDeque<>();
        boolean answered = addAttempts(decisions.decide(now, received), attempts);
        long receivingNs = THREADS.getCurrentThreadCpuTime() - before;
        while (!attempts.isEmpty()) {
            var ended =
                    new Event.AttemptEnded(
                            attempts.poll().partId(), 0, AttemptOutcome.COMPLETED, 5, null);
            answered |= addAttempts(decisions.decide(now, List.of(ended)), attempts);
        }
        if (!answered) {
            throw new IllegalStateException(
                    "a query of "
                            + parts
                            + " parts was not answered with all parts: the measurement is invalid");
        }
        return receivingNs;
    }

    private static boolean addAttempts(List<Command> actions, Queue<Command.SendAttempt> attempts) {
        boolean answered = false;
        for (Command command : actions) {
            if (command instanceof Command.SendAttempt sendAttempt) {
                attempts.add(sendAttempt);
            } else if (command instanceof Command.AnswerQuery answer) {
                answered |= answer.complete();
            }
        }
        return answered;
    }

    private static Cost measure(Size size, long measureMs) {
        var cost = new DecisionCost(size);
        cost.repeat(size.parts, measureMs);
        return cost.repeat(size.parts, measureMs);
    }

    private Cost repeat(int parts, long measureMs) {
        long thread = Thread.currentThread().getId();
        long allocated = THREADS.getThreadAllocatedBytes(thread);
        long startedNs = THREADS.getCurrentThreadCpuTime();
        long totalReceivingNs = 0;
        int done = 0;
        while (done < MIN_QUERIES
                || THREADS.getCurrentThreadCpuTime() - startedNs < measureMs * 1_000_000) {
            totalReceivingNs += query(parts);
            done++;
        }
        double cpuUs = (THREADS.getCurrentThreadCpuTime() - startedNs) / 1e3 / done;
        return new Cost(
                null,
                done,
                cpuUs,
                totalReceivingNs / 1e3 / done,
                (THREADS.getThreadAllocatedBytes(thread) - allocated) / 1024.0 / done);
    }

    private static List<Cost> series(
            String name, List<Size> sizes, List<String> csv, long measureMs) {
        System.out.printf(
                Locale.ROOT,
                "%nby %s%n%10s %10s %10s %12s %12s %14s%n",
                name,
                "parts",
                "servers",
                "open",
                "us a query",
                "us to take",
                "KiB allocated");
        var costs = new ArrayList<Cost>();
        for (Size size : sizes) {
            Cost cost = measure(size, measureMs);
            costs.add(new Cost(size, cost.queries, cost.cpuUs, cost.receivingUs, cost.allocatedKb));
            System.out.printf(
                    Locale.ROOT,
                    "%10d %10d %10d %12.0f %12.0f %14.0f%n",
                    size.parts,
                    size.servers,
                    size.open,
                    cost.cpuUs,
                    cost.receivingUs,
                    cost.allocatedKb);
            csv.add(
                    String.format(
                            Locale.ROOT,
                            "%s,%d,%d,%d,%d,%.1f,%.1f,%.1f",
                            name,
                            size.parts,
                            size.servers,
                            size.open,
                            cost.queries,
                            cost.cpuUs,
                            cost.receivingUs,
                            cost.allocatedKb));
        }
        return costs;
    }

    /** Prints the exponent by which a cost grows with a size: 1 is linear, 2 is quadratic. */
    private static void printGrowth(
            String label,
            List<Cost> costs,
            ToDoubleFunction<Cost> size,
            ToDoubleFunction<Cost> cost) {
        var line = new SimpleRegression();
        costs.forEach(
                measured ->
                        line.addData(
                                Math.log(size.applyAsDouble(measured)),
                                Math.log(cost.applyAsDouble(measured))));
        System.out.printf(
                Locale.ROOT,
                "%s grows by the power %.2f, standard error %.2f, r2 %.3f, %d sizes%n",
                label,
                line.getSlope(),
                line.getSlopeStdErr(),
                line.getRSquare(),
                costs.size());
    }

    private static void run(boolean quick, Path csvFile) throws IOException {
        long measureMs = quick ? MEASURE_MS / 5 : MEASURE_MS;
        int servers = quick ? 2000 : 4100;
        // The result is discarded: without this run, the code would still be being compiled while
        // the first size is measured.
        measure(new Size(100, servers, 0), 2 * measureMs);
        var csv = new ArrayList<String>();
        csv.add("series,parts,servers,open,queries,us_a_query,us_to_take,kib_allocated");
        int[] parts =
                quick ? new int[] {10, 30, 100, 300} : new int[] {10, 30, 100, 300, 1000, 1900};
        List<Cost> byParts =
                series(
                        "parts",
                        IntStream.of(parts).mapToObj(n -> new Size(n, servers, 0)).toList(),
                        csv,
                        measureMs);
        printGrowth("a query's cost", byParts, cost -> cost.size.parts, Cost::cpuUs);
        printGrowth(
                "a part's cost",
                byParts,
                cost -> cost.size.parts,
                cost -> cost.cpuUs / cost.size.parts);
        int[] listed =
                quick ? new int[] {200, 500, 1000, 2000} : new int[] {200, 500, 1000, 2000, 4100};
        List<Cost> byServers =
                series(
                        "servers",
                        IntStream.of(listed).mapToObj(n -> new Size(100, n, 0)).toList(),
                        csv,
                        measureMs);
        printGrowth("a query's cost", byServers, cost -> cost.size.servers, Cost::cpuUs);
        int[] open = {10, 30, 100, 300, 1000};
        List<Cost> byOpen =
                series(
                        "open queries",
                        IntStream.of(open).mapToObj(n -> new Size(30, servers, n)).toList(),
                        csv,
                        measureMs);
        printGrowth("a query's cost", byOpen, cost -> cost.size.open, Cost::cpuUs);
        if (csvFile != null) {
            Files.write(csvFile, csv);
        }
    }

    public static void main(String[] args) throws IOException {
        boolean quick = false;
        Path csv = null;
        for (int i = 0; i < args.length; i++) {
            if (args[i].equals("--quick")) {
                quick = true;
            } else if (args[i].equals("--csv") && i + 1 < args.length) {
                csv = Path.of(args[++i]);
            } else {
                System.err.println(
                        "decision-cost: "
                                + args[i]
                                + " is unexpected; --quick and --csv FILE are known");
                System.exit(2);
            }
        }
        run(quick, csv);
    }
}
