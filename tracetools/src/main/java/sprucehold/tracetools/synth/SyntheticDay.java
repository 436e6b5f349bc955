package sprucehold.tracetools.synth;

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
import sprucehold.trace.event.Moment;
import sprucehold.trace.event.Source;

/** One synthetic day, played to its end. */
public final class SyntheticDay {
    /** Midnight of 2026-01-01 UTC: a day of no particular meaning. */
    public static final double BEGIN_MS = 1_767_225_600_000.0;

    private static final int CELLS = 6;
    private static final int HOLDERS = 3;
    private static final int SEGMENTS = 48;
    private static final int CORES = 4;

    /** Of one part at a server of usual speed: its median, and the spread of its logarithm. */
    private static final double WORK_MS = 40;

    private static final double WORK_SPREAD = 0.7;

    /** A server turns away what would wait longer. */
    private static final double MOST_WAIT_MS = 1500;

    /** The busiest hour has four times the scans of the quietest. */
    private static final double WAVE = 0.6;

    private static final List<QueryClass> TYPES =
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
    private static final double[] TYPE_SHARES = {0.4, 0.35, 0.15, 0.1};

    private final DayPlan plan;
    private final UniformRandomProvider chance;
    private final SharedStateContinuousSampler work;
    private final SharedStateContinuousSampler exponential;
    private final SharedStateDiscreteSampler whichCustomer;
    private final double[] phases;
    private final Deployment deployment;
    private final List<Seat> seats = new ArrayList<>();
    private final List<Server> servers = new ArrayList<>();
    private final Map<String, Server> serversByName = new HashMap<>();
    private final PriorityQueue<Due> due =
            new PriorityQueue<>(Comparator.comparingDouble(Due::at).thenComparingLong(Due::turn));
    private final double length;
    private long turns;
    private double now = BEGIN_MS;
    private int begun;
    private IOException failed;

    private record Due(double at, long turn, Runnable task) {}

    /** Takes the entries of one gatherer, in order. */
    public interface Sink {
        void add(Entry entry) throws IOException;
    }

    /** One gatherer, its clock, and where its entries go. */
    private final class Seat implements DecisionPolicy {
        final int number;
        final double skew;
        final double drift;
        final Source source;
        final DecisionPolicy module;
        final QueryCoordinator coordinator;
        final Map<Query, Client> clients = new HashMap<>();
        final Map<Attempt, Out> out = new HashMap<>();
        Sink sink;
        long seq;
        double tickAt = Double.POSITIVE_INFINITY;

        Seat(int number, DecisionPolicy.Factory factory) {
            this.number = number;
            skew = number == 0 ? 0 : 1000 * plan.skewS() * (2 * chance.nextDouble() - 1);
            drift = number == 0 ? 0 : 1e-6 * plan.driftPpm() * (2 * chance.nextDouble() - 1);
            long seed = chance.nextLong();
            source =
                    new Source(
                            "g" + number,
                            "synthetic",
                            seed,
                            own(BEGIN_MS),
                            deployment,
                            ClockFit.REFERENCE);
            module = factory.start(seed, deployment);
            coordinator = new QueryCoordinator(this, deployment);
        }

        double own(double trueMs) {
            return trueMs + skew + drift * (trueMs - BEGIN_MS);
        }

        double toTrue(double ownMs) {
            return (ownMs - skew + drift * BEGIN_MS) / (1 + drift);
        }

        @Override
        public List<Command> decide(double nowMs, List<Event> events) {
            List<Command> actions = module.decide(nowMs, events);
            try {
                sink.add(Moment.of(0, seq++, nowMs, events, actions, false));
            } catch (IOException e) {
                failed = failed == null ? e : failed;
            }
            return actions;
        }
    }

    private record Client(QueryClass type, int customer, double patience, int tries) {}

    private static final class Server {
        final String name;
        final int cell;
        final String zone;
        final double[] freeAt = new double[CORES];
        double startedAt;
        boolean up = true;
        EndpointUpdate.State state = EndpointUpdate.State.RUNNING;
        double slowness = 1;
        double faulty;
        boolean silent;
        final Set<Out> out = new LinkedHashSet<>();

        Server(String name, int cell, String zone) {
            this.name = name;
            this.cell = cell;
            this.zone = zone;
        }

        EndpointUpdate news() {
            return new EndpointUpdate(name, "127.0.0.1:1", cell, zone, startedAt, state);
        }
    }

    /** A dispatch on its way. */
    private final class Out {
        final Seat seat;
        final Attempt attempt;
        final Server server;
        boolean over;

        Out(Seat seat, Attempt attempt, Server server) {
            this.seat = seat;
            this.attempt = attempt;
            this.server = server;
        }

        void end(double afterMs, Supplier<AttemptResult> outcome) {
            at(
                    now + afterMs,
                    () -> {
                        if (!over) {
                            over = true;
                            server.out.remove(this);
                            seat.out.remove(attempt);
                            call(
                                    seat,
                                    () ->
                                            seat.coordinator.observe(
                                                    seat.own(now),
                                                    List.of(
                                                            new Observation.AttemptEnded(
                                                                    attempt, outcome.get()))));
                        }
                    });
        }
    }

    /**
     * @param factory starts the module that decides
     */
    public SyntheticDay(DayPlan plan, DecisionPolicy.Factory factory) {
        this.plan = plan;
        this.length = plan.hours() * 3_600_000;
        this.chance = RandomSource.XO_RO_SHI_RO_128_PP.create(plan.seed());
        this.work =
                LogNormalSampler.of(
                        ZigguratSampler.NormalizedGaussian.of(chance),
                        Math.log(WORK_MS),
                        WORK_SPREAD);
        this.exponential = ZigguratSampler.Exponential.of(chance);
        this.whichCustomer = RejectionInversionZipfSampler.of(chance, plan.customers(), 0.8);
        this.phases = new double[plan.customers()];
        var customers = new ArrayList<Tenant>();
        double perSecond = plan.scans() / (length / 1000);
        for (int i = 0; i < phases.length; i++) {
            phases[i] = chance.nextDouble();
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
                        TYPES,
                        customers,
                        new Deployment.ShardLayout(CELLS, 1, 1),
                        new Deployment.Limits(4, 2000, true, true, 1000),
                        new Deployment.SlowStartRule(0.2, 15_000, 4, 1000),
                        Deployment.RetryBudget.NONE,
                        new Deployment.EndpointSubscription(false, 10_000));
        for (int cell = 0; cell < CELLS; cell++) {
            for (int i = 0; i < HOLDERS; i++) {
                var server =
                        new Server("s-" + cell + "-" + i, cell, "ab".substring(i % 2, i % 2 + 1));
                servers.add(server);
                serversByName.put(server.name, server);
            }
        }
        for (int i = 0; i < plan.gatherers(); i++) {
            seats.add(new Seat(i, factory));
        }
    }

    /** Whose entries go to which sink. */
    public List<Source> sources() {
        return seats.stream().map(seat -> seat.source).toList();
    }

    /** How far a gatherer's clock is ahead of true time at a true time, in milliseconds. */
    public double aheadMs(int gatherer, double trueMs) {
        return seats.get(gatherer).own(trueMs) - trueMs;
    }

    /**
     * Plays the day.
     *
     * @param sinks one for each gatherer
     * @param progress is told how many scans were begun, now and then
     */
    public void play(List<? extends Sink> sinks, IntConsumer progress) throws IOException {
        for (Seat seat : seats) {
            seat.sink = sinks.get(seat.number);
            List<EndpointUpdate> all = servers.stream().map(Server::news).toList();
            call(
                    seat,
                    () ->
                            seat.coordinator.observe(
                                    seat.own(now),
                                    List.of(new Observation.EndpointsUpdated(true, all))));
        }
        for (int i = 0; i < plan.troubles(); i++) {
            at(BEGIN_MS + length * (i + chance.nextDouble()) / plan.troubles(), this::trouble);
        }
        arrival();
        while (!due.isEmpty() && failed == null) {
            Due next = due.poll();
            now = Math.max(now, next.at);
            next.task.run();
            if (begun > 0 && begun % 4096 == 0) {
                progress.accept(begun);
            }
        }
        if (failed != null) {
            throw failed;
        }
    }

    private void at(double time, Runnable task) {
        due.add(new Due(time, turns++, task));
    }

    // ---- Clients ----

    private void arrival() {
        if (begun >= plan.scans()) {
            return;
        }
        // Thinned from the rate of the busiest hour, which is the mean's 1 + WAVE times.
        double gap = exponential.sample() * length / Math.max(1, plan.scans()) / (1 + WAVE);
        at(
                now + gap,
                () -> {
                    double hour = (now - BEGIN_MS) / length;
                    double wave = 1 + WAVE * Math.sin(2 * Math.PI * (hour - 0.25));
                    if (chance.nextDouble() * (1 + WAVE) < wave) {
                        begun++;
                        ask(client(hour), seats.get(chance.nextInt(seats.size())));
                    }
                    arrival();
                });
    }

    private Client client(double hour) {
        int customer = whichCustomer.sample() - 1;
        // Each customer has hours of its own: outside of them another of the same share asks as a
        // rule.
        if (Math.abs(Math.IEEEremainder(hour - phases[customer], 1)) > 0.3
                && chance.nextDouble() < 0.8) {
            customer = whichCustomer.sample() - 1;
        }
        double which = chance.nextDouble();
        int type = 0;
        while (type < TYPES.size() - 1 && which >= TYPE_SHARES[type]) {
            which -= TYPE_SHARES[type++];
        }
        double patience =
                chance.nextInt(12) == 0
                        ? 150 + 400 * chance.nextDouble()
                        : 2000 + 2000 * chance.nextDouble();
        return new Client(TYPES.get(type), customer, Math.rint(patience), 0);
    }

    private void ask(Client client, Seat seat) {
        int count = Math.min(SEGMENTS, 1 + Math.min(11, (int) (exponential.sample() * 3)));
        int first = chance.nextInt(SEGMENTS);
        var parts = new ArrayList<Query.Part>();
        for (int i = 0; i < count; i++) {
            parts.add(new Query.Part((first + i) % SEGMENTS, 1.0 / count));
        }
        var query =
                new Query(
                        String.format(Locale.ROOT, "%016x", chance.nextLong()),
                        client.type.name(),
                        deployment.tenants().get(client.customer).name(),
                        client.patience,
                        parts,
                        Payload.EMPTY);
        seat.clients.put(query, client);
        if (chance.nextInt(50) == 0) {
            at(
                    now + client.patience * chance.nextDouble(),
                    () -> {
                        if (seat.clients.remove(query) != null) {
                            call(
                                    seat,
                                    () ->
                                            seat.coordinator.observe(
                                                    seat.own(now),
                                                    List.of(
                                                            new Observation.ClientDisconnected(
                                                                    query))));
                        }
                    });
        }
        call(seat, () -> seat.coordinator.submit(seat.own(now), query));
    }

    private void answered(Seat seat, Commands.Reply reply) {
        Client client = seat.clients.remove(reply.query());
        if (client == null || reply.answer() instanceof Answer.Completed || client.tries >= 2) {
            return;
        }
        boolean harmless =
                reply.answer() instanceof Answer.Rejected
                        || client.type.idempotence() == QueryClass.Idempotence.IDEMPOTENT;
        if (harmless) {
            double wait =
                    reply.answer() instanceof Answer.Rejected throttled
                            ? throttled.retryAfterMs()
                            : 200;
            Client again =
                    new Client(client.type, client.customer, client.patience, client.tries + 1);
            at(
                    now + wait * (1 + chance.nextDouble()),
                    () -> ask(again, seats.get(chance.nextInt(seats.size()))));
        }
    }

    // ---- Gatherers ----

    private void call(Seat seat, Supplier<Commands> call) {
        Commands commands = call.get();
        for (Attempt attempt : commands.cancel()) {
            Out out = seat.out.get(attempt);
            if (out != null) {
                out.end(0.02, () -> new AttemptResult.Cancelled(WriteProgress.WRITTEN));
            }
        }
        commands.send().forEach(attempt -> send(seat, attempt));
        commands.replies().forEach(reply -> answered(seat, reply));
        double next = commands.nextTickAtMs();
        if (next < Double.POSITIVE_INFINITY && next != seat.tickAt) {
            seat.tickAt = next;
            // A timer wakes late by up to a tick, never early.
            at(
                    Math.max(now, seat.toTrue(next)) + 0.01 + chance.nextDouble(),
                    () -> {
                        if (seat.tickAt == next) {
                            seat.tickAt = Double.POSITIVE_INFINITY;
                            call(seat, () -> seat.coordinator.tick(Math.max(next, seat.own(now))));
                        }
                    });
        } else if (next == Double.POSITIVE_INFINITY) {
            seat.tickAt = next;
        }
    }

    // ---- Shard servers ----

    private void send(Seat seat, Attempt attempt) {
        ShardServer named = attempt.server();
        Server server = serversByName.get(named.name());
        var out = new Out(seat, attempt, server);
        seat.out.put(attempt, out);
        server.out.add(out);
        double way = 0.4 + 0.4 * exponential.sample();
        if (!server.up) {
            out.end(way, () -> new AttemptResult.ConnectionLost(WriteProgress.NOT_WRITTEN));
            return;
        } else if (server.silent) {
            return;
        }
        int core = 0;
        for (int i = 1; i < CORES; i++) {
            core = server.freeAt[i] < server.freeAt[core] ? i : core;
        }
        double starts = Math.max(now + way, server.freeAt[core]);
        if (starts - now > MOST_WAIT_MS || server.state != EndpointUpdate.State.RUNNING) {
            out.end(2 * way, () -> new AttemptResult.Rejected(null));
            return;
        }
        // Cold caches make a server that has just started take up to three times as long.
        double cold =
                server.startedAt == 0 ? 1 : 1 + 2 * Math.exp(-(now - server.startedAt) / 5000);
        double takes = work.sample() * server.slowness * cold;
        server.freeAt[core] = starts + takes;
        boolean fails = chance.nextDouble() < server.faulty;
        double ends = starts + (fails ? Math.min(2, takes) : takes) + way;
        out.end(
                ends - now,
                () ->
                        fails
                                ? new AttemptResult.Failed(null)
                                : new AttemptResult.Completed(Payload.EMPTY, null));
    }

    private void trouble() {
        Server server = servers.get(chance.nextInt(servers.size()));
        if (!server.up || server.state != EndpointUpdate.State.RUNNING) {
            return;
        }
        double lasts = 10_000 + 40_000 * chance.nextDouble();
        switch (chance.nextInt(5)) {
            case 0 -> {
                die(server);
                at(
                        now + 2000 + 3000 * chance.nextDouble(),
                        () -> tell(server, EndpointUpdate.State.GONE));
                at(now + 5000 + lasts, () -> comeBack(server));
            }
            case 1 -> {
                tell(server, EndpointUpdate.State.DRAINING);
                at(now + 5000, () -> die(server));
                at(now + 5100, () -> tell(server, EndpointUpdate.State.GONE));
                at(now + 6000 + lasts, () -> comeBack(server));
            }
            case 2 -> {
                server.slowness = 4 + 6 * chance.nextDouble();
                at(now + lasts, () -> server.slowness = 1);
            }
            case 3 -> {
                server.faulty = 0.2 + 0.6 * chance.nextDouble();
                at(now + lasts, () -> server.faulty = 0);
            }
            default -> {
                server.silent = true;
                at(now + lasts, () -> server.silent = false);
            }
        }
    }

    private void die(Server server) {
        server.up = false;
        List.copyOf(server.out)
                .forEach(
                        out ->
                                out.end(
                                        0.5,
                                        () ->
                                                new AttemptResult.ConnectionLost(
                                                        WriteProgress.WRITTEN)));
    }

    private void comeBack(Server server) {
        server.up = true;
        server.silent = false;
        server.startedAt = Math.rint(now);
        Arrays.fill(server.freeAt, now);
        tell(server, EndpointUpdate.State.RUNNING);
    }

    /** Each gatherer hears of it in its own time: some 50 ms after the quickest. */
    private void tell(Server server, EndpointUpdate.State state) {
        server.state = state;
        EndpointUpdate news = server.news();
        for (Seat seat : seats) {
            at(
                    now + 20 + 30 * exponential.sample(),
                    () ->
                            call(
                                    seat,
                                    () ->
                                            seat.coordinator.observe(
                                                    seat.own(now),
                                                    List.of(
                                                            new Observation.EndpointsUpdated(
                                                                    false, List.of(news))))));
        }
    }
}
