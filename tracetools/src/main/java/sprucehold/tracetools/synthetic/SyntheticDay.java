package sprucehold.tracetools.synthetic;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.function.IntConsumer;
import java.util.function.Supplier;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.LogNormalSampler;
import org.apache.commons.rng.sampling.distribution.RejectionInversionZipfSampler;
import org.apache.commons.rng.sampling.distribution.SharedStateContinuousSampler;
import org.apache.commons.rng.sampling.distribution.SharedStateDiscreteSampler;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;
import org.apache.commons.rng.simple.RandomSource;
import sprucehold.coordinator.Answer;
import sprucehold.coordinator.Attempt;
import sprucehold.coordinator.AttemptResult;
import sprucehold.coordinator.Commands;
import sprucehold.coordinator.EndpointUpdate;
import sprucehold.coordinator.Observation;
import sprucehold.coordinator.Payload;
import sprucehold.coordinator.Query;
import sprucehold.coordinator.QueryCoordinator;
import sprucehold.coordinator.ShardServer;
import sprucehold.coordinator.WriteProgress;
import sprucehold.decision.Command;
import sprucehold.decision.DecisionPolicy;
import sprucehold.decision.Deployment;
import sprucehold.decision.Event;
import sprucehold.decision.QueryClass;
import sprucehold.decision.Tenant;
import sprucehold.trace.event.ClockFit;
import sprucehold.trace.event.Entry;
import sprucehold.trace.event.PolicyCall;
import sprucehold.trace.event.Source;

/** Simulates one synthetic day and passes the entries of each gatherer to a sink. */
public final class SyntheticDay {
    /** Start of the day, in Unix milliseconds: midnight of 2026-01-01 UTC, an arbitrary date. */
    public static final double BEGIN_MS = 1_767_225_600_000.0;

    private static final int REPLICA_GROUPS = 6;
    private static final int REPLICAS_PER_GROUP = 3;
    private static final int SHARDS = 48;
    private static final int CORES_PER_SERVER = 4;

    /** Median time that a server of normal speed works on one part, in milliseconds. */
    private static final double MEDIAN_WORK_MS = 40;

    /** Standard deviation of the natural logarithm of the time that a server works on a part. */
    private static final double WORK_SPREAD = 0.7;

    /**
     * A server rejects a part that it could not start within this time after the part was sent, in
     * milliseconds.
     */
    private static final double MAX_QUEUE_MS = 1500;

    /**
     * Amplitude of the query rate over the day, relative to the mean rate. At 0.6 the busiest hour
     * has four times the queries of the quietest.
     */
    private static final double DAILY_AMPLITUDE = 0.6;

    private static final List<QueryClass> QUERY_CLASSES =
            List.of(
                    new QueryClass(
                            "offers",
                            QueryClass.Idempotence.IDEMPOTENT,
                            1200,
                            2,
                            0.3,
                            0,
                            0.75,
                            0.75,
                            0),
                    new QueryClass(
                            "receipts",
                            QueryClass.Idempotence.IDEMPOTENT,
                            800,
                            1,
                            0.1,
                            0,
                            1,
                            0.5,
                            0),
                    new QueryClass(
                            "orders",
                            QueryClass.Idempotence.DEDUPLICATED,
                            800,
                            1,
                            0.3,
                            3000,
                            1,
                            1,
                            0),
                    new QueryClass(
                            "stamps",
                            QueryClass.Idempotence.NON_IDEMPOTENT,
                            800,
                            1,
                            0.3,
                            0,
                            1,
                            1,
                            0));
    private static final double[] CLASS_SHARES = {0.4, 0.35, 0.15, 0.1};

    private final DayPlan plan;
    private final UniformRandomProvider random;
    private final SharedStateContinuousSampler work;
    private final SharedStateContinuousSampler exponential;
    private final SharedStateDiscreteSampler tenantSampler;
    private final double[] phases;
    private final Deployment deployment;
    private final List<SimulatedGatherer> gatherers = new ArrayList<>();
    private final List<SimulatedServer> servers = new ArrayList<>();
    private final Map<String, SimulatedServer> serversByName = new HashMap<>();
    private final PriorityQueue<ScheduledTask> schedule =
            new PriorityQueue<>(
                    Comparator.comparingDouble(ScheduledTask::at)
                            .thenComparingLong(ScheduledTask::sequence));

    /** Length of the day, in milliseconds. */
    private final double length;

    private long scheduled;
    private double now = BEGIN_MS;
    private int queriesStarted;
    private IOException failure;

    private record ScheduledTask(double at, long sequence, Runnable task) {}

    /** Receives the entries of one gatherer, in order. */
    public interface Sink {
        void add(Entry entry) throws IOException;
    }

    /** A simulated gatherer with its clock and the sink of its entries. */
    private final class SimulatedGatherer implements DecisionPolicy {
        final int number;
        final double skew;
        final double drift;
        final Source source;
        final DecisionPolicy policy;
        final QueryCoordinator coordinator;
        final Map<Query, SimulatedClient> clients = new HashMap<>();
        final Map<Attempt, InFlightAttempt> inFlight = new HashMap<>();
        Sink sink;
        long seq;
        double tickAt = Double.POSITIVE_INFINITY;

        SimulatedGatherer(int number, DecisionPolicy.Factory factory) {
            this.number = number;
            skew = number == 0 ? 0 : 1000 * plan.skewS() * (2 * random.nextDouble() - 1);
            drift = number == 0 ? 0 : 1e-6 * plan.driftPpm() * (2 * random.nextDouble() - 1);
            long seed = random.nextLong();
            source =
                    new Source(
                            "g" + number,
                            "synthetic",
                            seed,
                            localTime(BEGIN_MS),
                            deployment,
                            ClockFit.REFERENCE);
            policy = factory.create(seed, deployment);
            coordinator = new QueryCoordinator(this, deployment);
        }

        double localTime(double trueMs) {
            return trueMs + skew + drift * (trueMs - BEGIN_MS);
        }

        double trueTime(double ownMs) {
            return (ownMs - skew + drift * BEGIN_MS) / (1 + drift);
        }

        @Override
        public List<Command> decide(double nowMs, List<Event> events) {
            List<Command> commands = policy.decide(nowMs, events);
            try {
                sink.add(PolicyCall.of(0, seq++, nowMs, events, commands, false));
            } catch (IOException e) {
                failure = failure == null ? e : failure;
            }
            return commands;
        }
    }

    private record SimulatedClient(
            QueryClass queryClass, int tenant, double timeoutMs, int resends) {}

    private static final class SimulatedServer {
        final String name;
        final int replicaGroup;
        final String zone;
        final double[] freeAt = new double[CORES_PER_SERVER];
        double startedAt;
        boolean up = true;
        EndpointUpdate.State state = EndpointUpdate.State.RUNNING;
        double slowness = 1;
        double errorRate;
        boolean silent;
        final Set<InFlightAttempt> inFlight = new LinkedHashSet<>();

        SimulatedServer(String name, int replicaGroup, String zone) {
            this.name = name;
            this.replicaGroup = replicaGroup;
            this.zone = zone;
        }

        EndpointUpdate update() {
            return new EndpointUpdate(name, "127.0.0.1:1", replicaGroup, zone, startedAt, state);
        }
    }

    /** An attempt that a gatherer has sent and that has not ended. */
    private final class InFlightAttempt {
        final SimulatedGatherer gatherer;
        final Attempt attempt;
        final SimulatedServer server;
        boolean ended;

        InFlightAttempt(SimulatedGatherer gatherer, Attempt attempt, SimulatedServer server) {
            this.gatherer = gatherer;
            this.attempt = attempt;
            this.server = server;
        }

        void end(double afterMs, Supplier<AttemptResult> outcome) {
            schedule(
                    now + afterMs,
                    () -> {
                        if (!ended) {
                            ended = true;
                            server.inFlight.remove(this);
                            gatherer.inFlight.remove(attempt);
                            execute(
                                    gatherer,
                                    () ->
                                            gatherer.coordinator.observe(
                                                    gatherer.localTime(now),
                                                    List.of(
                                                            new Observation.AttemptEnded(
                                                                    attempt, outcome.get()))));
                        }
                    });
        }
    }

    /**
     * @param factory creates the decision policy of each gatherer
     */
    public SyntheticDay(DayPlan plan, DecisionPolicy.Factory factory) {
        this.plan = plan;
        this.length = plan.hours() * 3_600_000;
        this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(plan.seed());
        this.work =
                LogNormalSampler.of(
                        ZigguratSampler.NormalizedGaussian.of(random),
                        Math.log(MEDIAN_WORK_MS),
                        WORK_SPREAD);
        this.exponential = ZigguratSampler.Exponential.of(random);
        this.tenantSampler = RejectionInversionZipfSampler.of(random, plan.tenants(), 0.8);
        this.phases = new double[plan.tenants()];
        var tenants = new ArrayList<Tenant>();
        double perSecond = plan.queries() / (length / 1000);
        for (int i = 0; i < phases.length; i++) {
            phases[i] = random.nextDouble();
            tenants.add(
                    new Tenant(
                            String.format(Locale.ROOT, "customer-%03d", i),
                            2 * perSecond / (i + 1)));
        }
        deployment =
                new Deployment(
                        plan.gatherers(),
                        "a",
                        5,
                        0.2,
                        QUERY_CLASSES,
                        tenants,
                        new Deployment.ShardLayout(REPLICA_GROUPS, 1, 1),
                        new Deployment.Limits(4, 2000, true, true, 1000),
                        new Deployment.SlowStartRule(0.2, 15_000, 4, 1000),
                        Deployment.RetryBudget.NONE,
                        new Deployment.EndpointSubscription(false, 10_000));
        for (int group = 0; group < REPLICA_GROUPS; group++) {
            for (int i = 0; i < REPLICAS_PER_GROUP; i++) {
                var server =
                        new SimulatedServer(
                                "s-" + group + "-" + i, group, "ab".substring(i % 2, i % 2 + 1));
                servers.add(server);
                serversByName.put(server.name, server);
            }
        }
        for (int i = 0; i < plan.gatherers(); i++) {
            gatherers.add(new SimulatedGatherer(i, factory));
        }
    }

    /** Returns the sources of the gatherers, in the order of the sinks of {@link #run}. */
    public List<Source> sources() {
        return gatherers.stream().map(gatherer -> gatherer.source).toList();
    }

    /**
     * Returns how far the clock of a gatherer is ahead of true time at the given true time, in
     * milliseconds.
     */
    public double clockOffsetMs(int gatherer, double trueMs) {
        return gatherers.get(gatherer).localTime(trueMs) - trueMs;
    }

    /**
     * Simulates the day to its end.
     *
     * @param sinks one sink for each gatherer, in the order of {@link #sources}
     * @param progress receives the number of queries started so far, from time to time
     */
    public void run(List<? extends Sink> sinks, IntConsumer progress) throws IOException {
        for (SimulatedGatherer gatherer : gatherers) {
            gatherer.sink = sinks.get(gatherer.number);
            List<EndpointUpdate> all = servers.stream().map(SimulatedServer::update).toList();
            execute(
                    gatherer,
                    () ->
                            gatherer.coordinator.observe(
                                    gatherer.localTime(now),
                                    List.of(new Observation.EndpointsUpdated(true, all))));
        }
        for (int i = 0; i < plan.faults(); i++) {
            schedule(
                    BEGIN_MS + length * (i + random.nextDouble()) / plan.faults(),
                    this::injectFault);
        }
        scheduleArrival();
        while (!schedule.isEmpty() && failure == null) {
            ScheduledTask next = schedule.poll();
            now = Math.max(now, next.at);
            next.task.run();
            if (queriesStarted > 0 && queriesStarted % 4096 == 0) {
                progress.accept(queriesStarted);
            }
        }
        if (failure != null) {
            throw failure;
        }
    }

    private void schedule(double time, Runnable task) {
        schedule.add(new ScheduledTask(time, scheduled++, task));
    }

    // ---- Clients ----

    private void scheduleArrival() {
        if (queriesStarted >= plan.queries()) {
            return;
        }
        // Draws arrivals at the rate of the busiest hour, 1 + DAILY_AMPLITUDE times the mean rate.
        // Some are dropped below, so that the rate follows the time of day (thinning).
        double gap =
                exponential.sample() * length / Math.max(1, plan.queries()) / (1 + DAILY_AMPLITUDE);
        schedule(
                now + gap,
                () -> {
                    double phase = (now - BEGIN_MS) / length;
                    double wave = 1 + DAILY_AMPLITUDE * Math.sin(2 * Math.PI * (phase - 0.25));
                    if (random.nextDouble() * (1 + DAILY_AMPLITUDE) < wave) {
                        queriesStarted++;
                        sendQuery(client(phase), gatherers.get(random.nextInt(gatherers.size())));
                    }
                    scheduleArrival();
                });
    }

    private SimulatedClient client(double phase) {
        int tenant = tenantSampler.sample() - 1;
        // Each tenant has active hours of its own. Outside of them, the query mostly comes from a
        // tenant that is drawn again by the same shares.
        if (Math.abs(Math.IEEEremainder(phase - phases[tenant], 1)) > 0.3
                && random.nextDouble() < 0.8) {
            tenant = tenantSampler.sample() - 1;
        }
        double draw = random.nextDouble();
        int classIndex = 0;
        while (classIndex < QUERY_CLASSES.size() - 1 && draw >= CLASS_SHARES[classIndex]) {
            draw -= CLASS_SHARES[classIndex++];
        }
        double timeoutMs =
                random.nextInt(12) == 0
                        ? 150 + 400 * random.nextDouble()
                        : 2000 + 2000 * random.nextDouble();
        return new SimulatedClient(QUERY_CLASSES.get(classIndex), tenant, Math.rint(timeoutMs), 0);
    }

    private void sendQuery(SimulatedClient client, SimulatedGatherer gatherer) {
        int count = Math.min(SHARDS, 1 + Math.min(11, (int) (exponential.sample() * 3)));
        int first = random.nextInt(SHARDS);
        var parts = new ArrayList<Query.Part>();
        for (int i = 0; i < count; i++) {
            parts.add(new Query.Part((first + i) % SHARDS, 1.0 / count));
        }
        var query =
                new Query(
                        String.format(Locale.ROOT, "%016x", random.nextLong()),
                        client.queryClass.name(),
                        deployment.tenants().get(client.tenant).name(),
                        client.timeoutMs,
                        parts,
                        Payload.EMPTY);
        gatherer.clients.put(query, client);
        if (random.nextInt(50) == 0) {
            schedule(
                    now + client.timeoutMs * random.nextDouble(),
                    () -> {
                        if (gatherer.clients.remove(query) != null) {
                            execute(
                                    gatherer,
                                    () ->
                                            gatherer.coordinator.observe(
                                                    gatherer.localTime(now),
                                                    List.of(
                                                            new Observation.ClientDisconnected(
                                                                    query))));
                        }
                    });
        }
        execute(gatherer, () -> gatherer.coordinator.submit(gatherer.localTime(now), query));
    }

    /**
     * Sends a query again after a delay if it was rejected, or if it failed and is idempotent; at
     * most twice.
     */
    private void handleReply(SimulatedGatherer gatherer, Commands.Reply reply) {
        SimulatedClient client = gatherer.clients.remove(reply.query());
        if (client == null || reply.answer() instanceof Answer.Completed || client.resends >= 2) {
            return;
        }
        boolean mayResend =
                reply.answer() instanceof Answer.Rejected
                        || client.queryClass.idempotence() == QueryClass.Idempotence.IDEMPOTENT;
        if (mayResend) {
            double wait =
                    reply.answer() instanceof Answer.Rejected rejected
                            ? rejected.retryAfterMs()
                            : 200;
            SimulatedClient repeated =
                    new SimulatedClient(
                            client.queryClass, client.tenant, client.timeoutMs, client.resends + 1);
            schedule(
                    now + wait * (1 + random.nextDouble()),
                    () -> sendQuery(repeated, gatherers.get(random.nextInt(gatherers.size()))));
        }
    }

    // ---- Gatherers ----

    /** Calls the coordinator of a gatherer and executes the commands that it returns. */
    private void execute(SimulatedGatherer gatherer, Supplier<Commands> coordinatorCall) {
        Commands commands = coordinatorCall.get();
        for (Attempt attempt : commands.attemptsToCancel()) {
            InFlightAttempt pending = gatherer.inFlight.get(attempt);
            if (pending != null) {
                pending.end(0.02, () -> new AttemptResult.Cancelled(WriteProgress.WRITTEN));
            }
        }
        commands.attemptsToSend().forEach(attempt -> send(gatherer, attempt));
        commands.replies().forEach(reply -> handleReply(gatherer, reply));
        double next = commands.nextTickAtMs();
        if (next < Double.POSITIVE_INFINITY && next != gatherer.tickAt) {
            gatherer.tickAt = next;
            // A timer fires between 0.01 and 1.01 ms late, never early.
            schedule(
                    Math.max(now, gatherer.trueTime(next)) + 0.01 + random.nextDouble(),
                    () -> {
                        if (gatherer.tickAt == next) {
                            gatherer.tickAt = Double.POSITIVE_INFINITY;
                            execute(
                                    gatherer,
                                    () ->
                                            gatherer.coordinator.tick(
                                                    Math.max(next, gatherer.localTime(now))));
                        }
                    });
        } else if (next == Double.POSITIVE_INFINITY) {
            gatherer.tickAt = next;
        }
    }

    // ---- Shard servers ----

    private void send(SimulatedGatherer gatherer, Attempt attempt) {
        ShardServer target = attempt.server();
        SimulatedServer server = serversByName.get(target.name());
        var pending = new InFlightAttempt(gatherer, attempt, server);
        gatherer.inFlight.put(attempt, pending);
        server.inFlight.add(pending);
        double latencyMs = 0.4 + 0.4 * exponential.sample();
        if (!server.up) {
            pending.end(
                    latencyMs, () -> new AttemptResult.ConnectionLost(WriteProgress.NOT_WRITTEN));
            return;
        } else if (server.silent) {
            return;
        }
        int core = 0;
        for (int i = 1; i < CORES_PER_SERVER; i++) {
            core = server.freeAt[i] < server.freeAt[core] ? i : core;
        }
        double startMs = Math.max(now + latencyMs, server.freeAt[core]);
        if (startMs - now > MAX_QUEUE_MS || server.state != EndpointUpdate.State.RUNNING) {
            pending.end(2 * latencyMs, () -> new AttemptResult.Rejected(null));
            return;
        }
        // Cold caches make a server that has just started take up to three times as long.
        double coldFactor =
                server.startedAt == 0 ? 1 : 1 + 2 * Math.exp(-(now - server.startedAt) / 5000);
        double workMs = work.sample() * server.slowness * coldFactor;
        server.freeAt[core] = startMs + workMs;
        boolean fails = random.nextDouble() < server.errorRate;
        double endMs = startMs + (fails ? Math.min(2, workMs) : workMs) + latencyMs;
        pending.end(
                endMs - now,
                () ->
                        fails
                                ? new AttemptResult.Failed(null)
                                : new AttemptResult.Completed(Payload.EMPTY, null));
    }

    private void injectFault() {
        SimulatedServer server = servers.get(random.nextInt(servers.size()));
        if (!server.up || server.state != EndpointUpdate.State.RUNNING) {
            return;
        }
        double durationMs = 10_000 + 40_000 * random.nextDouble();
        switch (random.nextInt(5)) {
            case 0 -> {
                crash(server);
                schedule(
                        now + 2000 + 3000 * random.nextDouble(),
                        () -> publish(server, EndpointUpdate.State.GONE));
                schedule(now + 5000 + durationMs, () -> restart(server));
            }
            case 1 -> {
                publish(server, EndpointUpdate.State.DRAINING);
                schedule(now + 5000, () -> crash(server));
                schedule(now + 5100, () -> publish(server, EndpointUpdate.State.GONE));
                schedule(now + 6000 + durationMs, () -> restart(server));
            }
            case 2 -> {
                server.slowness = 4 + 6 * random.nextDouble();
                schedule(now + durationMs, () -> server.slowness = 1);
            }
            case 3 -> {
                server.errorRate = 0.2 + 0.6 * random.nextDouble();
                schedule(now + durationMs, () -> server.errorRate = 0);
            }
            default -> {
                server.silent = true;
                schedule(now + durationMs, () -> server.silent = false);
            }
        }
    }

    private void crash(SimulatedServer server) {
        server.up = false;
        List.copyOf(server.inFlight)
                .forEach(
                        pending ->
                                pending.end(
                                        0.5,
                                        () ->
                                                new AttemptResult.ConnectionLost(
                                                        WriteProgress.WRITTEN)));
    }

    private void restart(SimulatedServer server) {
        server.up = true;
        server.silent = false;
        server.startedAt = Math.rint(now);
        Arrays.fill(server.freeAt, now);
        publish(server, EndpointUpdate.State.RUNNING);
    }

    /**
     * Changes the state of a server and sends the update to each gatherer. Each gatherer receives
     * the update after a delay of its own, at least 20 ms and 50 ms in the mean.
     */
    private void publish(SimulatedServer server, EndpointUpdate.State state) {
        server.state = state;
        EndpointUpdate update = server.update();
        for (SimulatedGatherer gatherer : gatherers) {
            schedule(
                    now + 20 + 30 * exponential.sample(),
                    () ->
                            execute(
                                    gatherer,
                                    () ->
                                            gatherer.coordinator.observe(
                                                    gatherer.localTime(now),
                                                    List.of(
                                                            new Observation.EndpointsUpdated(
                                                                    false, List.of(update))))));
        }
    }
}
