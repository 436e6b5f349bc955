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

/** One synthetic day, played to its end. */
public final class SyntheticDay {
    /** Midnight of 2026-01-01 UTC: a day of no particular meaning. */
    public static final double BEGIN_MS = 1_767_225_600_000.0;

    private static final int REPLICA_GROUPS = 6;
    private static final int REPLICAS_PER_GROUP = 3;
    private static final int SHARDS = 48;
    private static final int CORES_PER_SERVER = 4;

    /** Of one part at a server of usual speed: its median, and the spread of its logarithm. */
    private static final double MEDIAN_WORK_MS = 40;

    private static final double WORK_SPREAD = 0.7;

    /** A server turns away what would wait longer. */
    private static final double MAX_QUEUE_MS = 1500;

    /** The busiest hour has four times the queries of the quietest. */
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
                            .thenComparingLong(ScheduledTask::turn));
    private final double length;
    private long scheduled;
    private double now = BEGIN_MS;
    private int queriesBegun;
    private IOException failure;

    private record ScheduledTask(double at, long turn, Runnable task) {}

    /** Takes the entries of one gatherer, in order. */
    public interface Sink {
        void add(Entry entry) throws IOException;
    }

    /** One gatherer, its clock, and where its entries go. */
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
            policy = factory.start(seed, deployment);
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
            List<Command> actions = policy.decide(nowMs, events);
            try {
                sink.add(PolicyCall.of(0, seq++, nowMs, events, actions, false));
            } catch (IOException e) {
                failure = failure == null ? e : failure;
            }
            return actions;
        }
    }

    private record SimulatedClient(
            QueryClass queryClass, int tenant, double patienceMs, int tries) {}

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

        SimulatedServer(String name, int cell, String zone) {
            this.name = name;
            this.replicaGroup = cell;
            this.zone = zone;
        }

        EndpointUpdate update() {
            return new EndpointUpdate(name, "127.0.0.1:1", replicaGroup, zone, startedAt, state);
        }
    }

    /** A attempt on its way. */
    private final class InFlightAttempt {
        final SimulatedGatherer gatherer;
        final Attempt attempt;
        final SimulatedServer server;
        boolean over;

        InFlightAttempt(SimulatedGatherer gatherer, Attempt attempt, SimulatedServer server) {
            this.gatherer = gatherer;
            this.attempt = attempt;
            this.server = server;
        }

        void end(double afterMs, Supplier<AttemptResult> outcome) {
            schedule(
                    now + afterMs,
                    () -> {
                        if (!over) {
                            over = true;
                            server.inFlight.remove(this);
                            gatherer.inFlight.remove(attempt);
                            call(
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
     * @param factory starts the policy that decides
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
        var customers = new ArrayList<Tenant>();
        double perSecond = plan.queries() / (length / 1000);
        for (int i = 0; i < phases.length; i++) {
            phases[i] = random.nextDouble();
            customers.add(
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
                        customers,
                        new Deployment.ShardLayout(REPLICA_GROUPS, 1, 1),
                        new Deployment.Limits(4, 2000, true, true, 1000),
                        new Deployment.SlowStartRule(0.2, 15_000, 4, 1000),
                        Deployment.RetryBudget.NONE,
                        new Deployment.EndpointSubscription(false, 10_000));
        for (int cell = 0; cell < REPLICA_GROUPS; cell++) {
            for (int i = 0; i < REPLICAS_PER_GROUP; i++) {
                var server =
                        new SimulatedServer(
                                "s-" + cell + "-" + i, cell, "ab".substring(i % 2, i % 2 + 1));
                servers.add(server);
                serversByName.put(server.name, server);
            }
        }
        for (int i = 0; i < plan.gatherers(); i++) {
            gatherers.add(new SimulatedGatherer(i, factory));
        }
    }

    /** Whose entries go to which sink. */
    public List<Source> sources() {
        return gatherers.stream().map(gatherer -> gatherer.source).toList();
    }

    /** How far a gatherer's clock is ahead of true time at a true time, in milliseconds. */
    public double aheadMs(int gatherer, double trueMs) {
        return gatherers.get(gatherer).localTime(trueMs) - trueMs;
    }

    /**
     * Plays the day.
     *
     * @param sinks one for each gatherer
     * @param progress is told how many queries were begun, now and then
     */
    public void play(List<? extends Sink> sinks, IntConsumer progress) throws IOException {
        for (SimulatedGatherer gatherer : gatherers) {
            gatherer.sink = sinks.get(gatherer.number);
            List<EndpointUpdate> all = servers.stream().map(SimulatedServer::update).toList();
            call(
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
        arrival();
        while (!schedule.isEmpty() && failure == null) {
            ScheduledTask next = schedule.poll();
            now = Math.max(now, next.at);
            next.task.run();
            if (queriesBegun > 0 && queriesBegun % 4096 == 0) {
                progress.accept(queriesBegun);
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

    private void arrival() {
        if (queriesBegun >= plan.queries()) {
            return;
        }
        // Thinned from the rate of the busiest hour, which is the mean's 1 + WAVE times.
        double gap =
                exponential.sample() * length / Math.max(1, plan.queries()) / (1 + DAILY_AMPLITUDE);
        schedule(
                now + gap,
                () -> {
                    double hour = (now - BEGIN_MS) / length;
                    double wave = 1 + DAILY_AMPLITUDE * Math.sin(2 * Math.PI * (hour - 0.25));
                    if (random.nextDouble() * (1 + DAILY_AMPLITUDE) < wave) {
                        queriesBegun++;
                        sendQuery(client(hour), gatherers.get(random.nextInt(gatherers.size())));
                    }
                    arrival();
                });
    }

    private SimulatedClient client(double hour) {
        int customer = tenantSampler.sample() - 1;
        // Each tenant has hours of its own: outside of them another of the same share asks as a
        // rule.
        if (Math.abs(Math.IEEEremainder(hour - phases[customer], 1)) > 0.3
                && random.nextDouble() < 0.8) {
            customer = tenantSampler.sample() - 1;
        }
        double which = random.nextDouble();
        int type = 0;
        while (type < QUERY_CLASSES.size() - 1 && which >= CLASS_SHARES[type]) {
            which -= CLASS_SHARES[type++];
        }
        double patience =
                random.nextInt(12) == 0
                        ? 150 + 400 * random.nextDouble()
                        : 2000 + 2000 * random.nextDouble();
        return new SimulatedClient(QUERY_CLASSES.get(type), customer, Math.rint(patience), 0);
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
                        client.patienceMs,
                        parts,
                        Payload.EMPTY);
        gatherer.clients.put(query, client);
        if (random.nextInt(50) == 0) {
            schedule(
                    now + client.patienceMs * random.nextDouble(),
                    () -> {
                        if (gatherer.clients.remove(query) != null) {
                            call(
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
        call(gatherer, () -> gatherer.coordinator.submit(gatherer.localTime(now), query));
    }

    private void answered(SimulatedGatherer gatherer, Commands.Reply reply) {
        SimulatedClient client = gatherer.clients.remove(reply.query());
        if (client == null || reply.answer() instanceof Answer.Completed || client.tries >= 2) {
            return;
        }
        boolean harmless =
                reply.answer() instanceof Answer.Rejected
                        || client.queryClass.idempotence() == QueryClass.Idempotence.IDEMPOTENT;
        if (harmless) {
            double wait =
                    reply.answer() instanceof Answer.Rejected throttled
                            ? throttled.retryAfterMs()
                            : 200;
            SimulatedClient again =
                    new SimulatedClient(
                            client.queryClass, client.tenant, client.patienceMs, client.tries + 1);
            schedule(
                    now + wait * (1 + random.nextDouble()),
                    () -> sendQuery(again, gatherers.get(random.nextInt(gatherers.size()))));
        }
    }

    // ---- Gatherers ----

    private void call(SimulatedGatherer gatherer, Supplier<Commands> call) {
        Commands commands = call.get();
        for (Attempt attempt : commands.cancel()) {
            InFlightAttempt out = gatherer.inFlight.get(attempt);
            if (out != null) {
                out.end(0.02, () -> new AttemptResult.Cancelled(WriteProgress.WRITTEN));
            }
        }
        commands.send().forEach(attempt -> send(gatherer, attempt));
        commands.replies().forEach(reply -> answered(gatherer, reply));
        double next = commands.nextTickAtMs();
        if (next < Double.POSITIVE_INFINITY && next != gatherer.tickAt) {
            gatherer.tickAt = next;
            // A timer wakes late by up to a tick, never early.
            schedule(
                    Math.max(now, gatherer.trueTime(next)) + 0.01 + random.nextDouble(),
                    () -> {
                        if (gatherer.tickAt == next) {
                            gatherer.tickAt = Double.POSITIVE_INFINITY;
                            call(
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
        ShardServer named = attempt.server();
        SimulatedServer server = serversByName.get(named.name());
        var out = new InFlightAttempt(gatherer, attempt, server);
        gatherer.inFlight.put(attempt, out);
        server.inFlight.add(out);
        double way = 0.4 + 0.4 * exponential.sample();
        if (!server.up) {
            out.end(way, () -> new AttemptResult.ConnectionLost(WriteProgress.NOT_WRITTEN));
            return;
        } else if (server.silent) {
            return;
        }
        int core = 0;
        for (int i = 1; i < CORES_PER_SERVER; i++) {
            core = server.freeAt[i] < server.freeAt[core] ? i : core;
        }
        double starts = Math.max(now + way, server.freeAt[core]);
        if (starts - now > MAX_QUEUE_MS || server.state != EndpointUpdate.State.RUNNING) {
            out.end(2 * way, () -> new AttemptResult.Rejected(null));
            return;
        }
        // Cold caches make a server that has just started take up to three times as long.
        double cold =
                server.startedAt == 0 ? 1 : 1 + 2 * Math.exp(-(now - server.startedAt) / 5000);
        double takes = work.sample() * server.slowness * cold;
        server.freeAt[core] = starts + takes;
        boolean fails = random.nextDouble() < server.errorRate;
        double ends = starts + (fails ? Math.min(2, takes) : takes) + way;
        out.end(
                ends - now,
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
        double lasts = 10_000 + 40_000 * random.nextDouble();
        switch (random.nextInt(5)) {
            case 0 -> {
                crash(server);
                schedule(
                        now + 2000 + 3000 * random.nextDouble(),
                        () -> publish(server, EndpointUpdate.State.GONE));
                schedule(now + 5000 + lasts, () -> restart(server));
            }
            case 1 -> {
                publish(server, EndpointUpdate.State.DRAINING);
                schedule(now + 5000, () -> crash(server));
                schedule(now + 5100, () -> publish(server, EndpointUpdate.State.GONE));
                schedule(now + 6000 + lasts, () -> restart(server));
            }
            case 2 -> {
                server.slowness = 4 + 6 * random.nextDouble();
                schedule(now + lasts, () -> server.slowness = 1);
            }
            case 3 -> {
                server.errorRate = 0.2 + 0.6 * random.nextDouble();
                schedule(now + lasts, () -> server.errorRate = 0);
            }
            default -> {
                server.silent = true;
                schedule(now + lasts, () -> server.silent = false);
            }
        }
    }

    private void crash(SimulatedServer server) {
        server.up = false;
        List.copyOf(server.inFlight)
                .forEach(
                        out ->
                                out.end(
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

    /** Each gatherer hears of it in its own time: some 50 ms after the quickest. */
    private void publish(SimulatedServer server, EndpointUpdate.State state) {
        server.state = state;
        EndpointUpdate news = server.update();
        for (SimulatedGatherer gatherer : gatherers) {
            schedule(
                    now + 20 + 30 * exponential.sample(),
                    () ->
                            call(
                                    gatherer,
                                    () ->
                                            gatherer.coordinator.observe(
                                                    gatherer.localTime(now),
                                                    List.of(
                                                            new Observation.EndpointsUpdated(
                                                                    false, List.of(news))))));
        }
    }
}
