package sprucehold.cluster.allowance;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.function.DoubleUnaryOperator;
import sprucehold.cluster.session.CoordinationSession;
import sprucehold.decision.Endpoint;
import sprucehold.decision.SharedLimit;

/**
 * Simulated fleet of six gatherers, two of them busy, and four servers that restart repeatedly and
 * have to warm up.
 */
final class AllowanceFleet {
    /** Scenario of a run of 20 s; pauses, kills and cut-offs happen between 6 and 12 s. */
    enum Scenario {
        CALM,
        LOSSY_NETWORK,
        CUT,
        ALL_CUT_OFF,
        DEAF,
        KILLED,
        PAUSED,
        CLOCKS,
        LATE_UPDATES
    }

    private static final List<String> NAMES = List.of("a-0", "a-1", "b-0", "b-1", "c-0", "c-1");
    private static final double FAULT_FROM_MS = 6000;
    private static final double FAULT_TO_MS = 12_000;

    record Usage(double atMs, double units) {}

    record Delivery(double atMs, long number, String from, CoordinationSession.Outgoing out) {}

    final Scenario scenario;
    final Random random;
    final Map<String, TestGatherer> all = new TreeMap<>();
    final Map<String, Double> startedAt = new TreeMap<>();
    final Map<String, ArrayDeque<Usage>> slowStartUsages = new TreeMap<>();
    final ArrayDeque<Usage> retryUsages = new ArrayDeque<>();
    final List<Delivery> deliveries = new ArrayList<>();
    final List<Runnable> deferred = new ArrayList<>();
    final List<String> violations = new ArrayList<>();
    double now;
    double units;
    long nextNumber;
    int slowStartSent;
    int retriesSent;
    int retriesByBusy;

    AllowanceFleet(Scenario scenario, long seed) {
        this.scenario = scenario;
        this.random = new Random(seed);
        for (String name : NAMES) {
            var gatherer = new TestGatherer(name);
            if (scenario == Scenario.CLOCKS) {
                gatherer.drift = 0.004 * random.nextDouble() - 0.002;
                gatherer.wallOffsetMs = 10_000 * random.nextDouble() - 5000;
            }
            gatherer.start(0, NAMES, random.nextLong());
            all.put(name, gatherer);
        }
        for (int i = 0; i < 4; i++) {
            startedAt.put("s" + i, -1e6);
        }
    }

    boolean isFaultActive() {
        return now >= FAULT_FROM_MS && now < FAULT_TO_MS;
    }

    boolean isPaused(TestGatherer gatherer) {
        return scenario == Scenario.PAUSED && isFaultActive() && gatherer.name.equals("a-0");
    }

    boolean isLost(String from, String to) {
        return switch (scenario) {
            case CUT -> isFaultActive() && from.startsWith("a") != to.startsWith("a");
            case ALL_CUT_OFF -> isFaultActive();
            case DEAF -> isFaultActive() && to.equals("a-0");
            case LOSSY_NETWORK -> random.nextDouble() < 0.1;
            default -> false;
        };
    }

    void run() {
        all.values().forEach(this::sendEndpoints);
        for (now = 0; now < 20_000; now += 10) {
            if (now % 4000 == 3000) {
                // The servers restart one after another.
                String server = "s" + (int) (now / 4000) % 4;
                startedAt.put(server, now);
                slowStartUsages.remove(server);
                all.values()
                        .forEach(
                                gatherer -> {
                                    if (scenario != Scenario.LATE_UPDATES || random.nextBoolean()) {
                                        sendEndpoints(gatherer);
                                    }
                                });
            }
            if (scenario == Scenario.LATE_UPDATES && now % 4000 == 0) {
                all.values().forEach(this::sendEndpoints);
            }
            if (scenario == Scenario.KILLED && now == FAULT_FROM_MS) {
                for (String name : List.of("a-0", "b-0", "b-1")) {
                    all.get(name).start(now, NAMES, random.nextLong());
                    sendEndpoints(all.get(name));
                }
            }
            deliver();
            all.values().forEach(this::act);
        }
    }

    void sendEndpoints(TestGatherer gatherer) {
        var list = new ArrayList<Endpoint>();
        startedAt.forEach(
                (server, at) ->
                        list.add(
                                AllowanceTableTest.endpoint(
                                        server,
                                        AllowanceTableTest.WALL + at,
                                        Endpoint.State.RUNNING)));
        Runnable update =
                () ->
                        gatherer.allowances.endpointsUpdated(
                                gatherer.counted(now), gatherer.wall(now), true, list);
        if (isPaused(gatherer)) {
            deferred.add(update);
        } else {
            update.run();
        }
    }

    void send(String from, List<CoordinationSession.Outgoing> messages) {
        for (CoordinationSession.Outgoing out : messages) {
            int copies =
                    isLost(from, out.to())
                            ? 0
                            : scenario == Scenario.LOSSY_NETWORK && random.nextDouble() < 0.1
                                    ? 2
                                    : 1;
            for (int i = 0; i < copies; i++) {
                deliveries.add(
                        new Delivery(
                                now
                                        + (scenario == Scenario.LOSSY_NETWORK
                                                ? 200 * random.nextDouble()
                                                : 1),
                                nextNumber++,
                                from,
                                out));
            }
        }
    }

    void deliver() {
        List<Delivery> arrived =
                deliveries.stream().filter(delivery -> delivery.atMs <= now).toList();
        deliveries.removeAll(arrived);
        for (Delivery delivery : arrived) {
            TestGatherer to = all.get(delivery.out.to());
            if (isPaused(to)) {
                deferred.add(() -> receive(to, delivery));
            } else {
                receive(to, delivery);
            }
        }
        if (!isFaultActive() && !deferred.isEmpty()) {
            List<Runnable> actions = List.copyOf(deferred);
            deferred.clear();
            actions.forEach(Runnable::run);
        }
    }

    void receive(TestGatherer to, Delivery delivery) {
        send(
                to.name,
                to.session.receive(
                        to.counted(now), to.wall(now), delivery.from, delivery.out.message()));
    }

    void act(TestGatherer gatherer) {
        if (isPaused(gatherer)) {
            return;
        }
        double counted = gatherer.counted(now);
        double wall = gatherer.wall(now);
        if (now % 200 == 0) {
            gatherer.allowances.tick(counted, wall);
            send(gatherer.name, gatherer.session.tick(counted, wall));
        }
        boolean busy = gatherer.name.startsWith("a");
        if (random.nextDouble() < (busy ? 0.4 : 0.05)) {
            gatherer.allowances.queryReceived(counted, "acme", List.of(0));
        }
        SharedLimit limit =
                random.nextDouble() < 0.3
                        ? SharedLimit.RETRIES
                        : SharedLimit.slowStart("s" + random.nextInt(4));
        int wanted = limit.equals(SharedLimit.RETRIES) ? 1 : 20;
        boolean attempts =
                limit.equals(SharedLimit.RETRIES)
                        ? random.nextDouble() < (busy ? 0.5 : 0.01)
                        : random.nextDouble() < (busy ? 0.9 : 0.2);
        int free =
                gatherer.allowances.clusterView(counted, wall).allowances().getOrDefault(limit, -1);
        if (!attempts || free < wanted) {
            return;
        }
        Grant grant = gatherer.allowances.consume(counted, wall, limit, wanted);
        if (grant == null) {
            violations.add(
                    now
                            + ": "
                            + gatherer.name
                            + " had "
                            + free
                            + " free units of "
                            + limit
                            + ", but consume returned no grant");
            return;
        }
        double writtenAt = now + 250 * random.nextDouble();
        Runnable write =
                () -> {
                    if (gatherer.allowances.isValid(
                            gatherer.counted(now), gatherer.wall(now), grant)) {
                        recordWrite(gatherer, limit, wanted);
                    }
                };
        // Covers a process that is paused between the decision and the write.
        if (scenario == Scenario.PAUSED
                && gatherer.name.equals("a-0")
                && writtenAt >= FAULT_FROM_MS
                && now < FAULT_FROM_MS) {
            deferred.add(write);
        } else {
            double at = now;
            now = writtenAt;
            write.run();
            now = at;
        }
    }

    void recordWrite(TestGatherer gatherer, SharedLimit limit, int wanted) {
        if (limit.equals(SharedLimit.RETRIES)) {
            retriesSent++;
            retriesByBusy += gatherer.name.equals("a-0") ? 1 : 0;
            count(retryUsages, at -> 12, "retries");
        } else {
            slowStartSent++;
            units = wanted;
            double started = startedAt.get(limit.subject());
            count(
                    slowStartUsages.computeIfAbsent(limit.subject(), none -> new ArrayDeque<>()),
                    at -> AllowanceTableTest.allowedMs(at - started),
                    limit.subject());
        }
    }

    /**
     * Records a write and checks every window that contains it. Writes are recorded in the order of
     * the decisions, which may differ slightly from the order of their times.
     */
    void count(ArrayDeque<Usage> sent, DoubleUnaryOperator allowed, String name) {
        sent.add(new Usage(now, name.equals("retries") ? 1 : units));
        sent.removeIf(usage -> usage.atMs <= now - 3 * AllowanceTableTest.WINDOW_MS);
        for (Usage end : sent) {
            double maxSum = allowed.applyAsDouble(end.atMs);
            double sum =
                    sent.stream()
                            .filter(
                                    usage ->
                                            usage.atMs > end.atMs - AllowanceTableTest.WINDOW_MS
                                                    && usage.atMs <= end.atMs)
                            .mapToDouble(Usage::units)
                            .sum();
            if (end.atMs >= now
                    && end.atMs < now + AllowanceTableTest.WINDOW_MS
                    && sum > maxSum + 1e-9) {
                violations.add(
                        end.atMs
                                + ": "
                                + name
                                + ": "
                                + sum
                                + " in a window, "
                                + maxSum
                                + " are allowed");
            }
        }
    }
}
