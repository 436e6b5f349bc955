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

/** Six gatherers, two of them busy, four servers that come back cold again and again. */
final class AllowanceFleet {
    /** What befalls a fleet of six between 6 and 12 s of 20. */
    enum Day {
        CALM,
        A_BAD_NETWORK,
        CUT,
        ALL_ALONE,
        DEAF,
        KILLED,
        PAUSED,
        CLOCKS,
        TOLD_LATE
    }

    private static final List<String> NAMES = List.of("a-0", "a-1", "b-0", "b-1", "c-0", "c-1");
    private static final double FROM = 6000;
    private static final double TO = 12_000;

    record Sent(double atMs, double units) {}

    record Mail(double atMs, long turn, String from, CoordinationSession.Outgoing out) {}

    final Day day;
    final Random random;
    final Map<String, TestGatherer> all = new TreeMap<>();
    final Map<String, Double> startedAt = new TreeMap<>();
    final Map<String, ArrayDeque<Sent>> cold = new TreeMap<>();
    final ArrayDeque<Sent> further = new ArrayDeque<>();
    final List<Mail> mail = new ArrayList<>();
    final List<Runnable> woken = new ArrayList<>();
    final List<String> broken = new ArrayList<>();
    double now;
    double units;
    long turns;
    int coldSent;
    int furtherSent;
    int furtherByBusy;

    AllowanceFleet(Day day, long seed) {
        this.day = day;
        this.random = new Random(seed);
        for (String name : NAMES) {
            var one = new TestGatherer(name);
            if (day == Day.CLOCKS) {
                one.drift = 0.004 * random.nextDouble() - 0.002;
                one.offMs = 10_000 * random.nextDouble() - 5000;
            }
            one.begin(0, NAMES, random.nextLong());
            all.put(name, one);
        }
        for (int i = 0; i < 4; i++) {
            startedAt.put("s" + i, -1e6);
        }
    }

    boolean troubled() {
        return now >= FROM && now < TO;
    }

    boolean paused(TestGatherer one) {
        return day == Day.PAUSED && troubled() && one.name.equals("a-0");
    }

    boolean lost(String from, String to) {
        return switch (day) {
            case CUT -> troubled() && from.startsWith("a") != to.startsWith("a");
            case ALL_ALONE -> troubled();
            case DEAF -> troubled() && to.equals("a-0");
            case A_BAD_NETWORK -> random.nextDouble() < 0.1;
            default -> false;
        };
    }

    void play() {
        all.values().forEach(this::tell);
        for (now = 0; now < 20_000; now += 10) {
            if (now % 4000 == 3000) {
                // TestGatherer after the other dies and is back.
                String server = "s" + (int) (now / 4000) % 4;
                startedAt.put(server, now);
                cold.remove(server);
                all.values()
                        .forEach(
                                one -> {
                                    if (day != Day.TOLD_LATE || random.nextBoolean()) {
                                        tell(one);
                                    }
                                });
            }
            if (day == Day.TOLD_LATE && now % 4000 == 0) {
                all.values().forEach(this::tell);
            }
            if (day == Day.KILLED && now == FROM) {
                for (String name : List.of("a-0", "b-0", "b-1")) {
                    all.get(name).begin(now, NAMES, random.nextLong());
                    tell(all.get(name));
                }
            }
            deliver();
            all.values().forEach(this::act);
        }
    }

    void tell(TestGatherer one) {
        var list = new ArrayList<Endpoint>();
        startedAt.forEach(
                (server, at) ->
                        list.add(
                                AllowanceTableTest.listing(
                                        server,
                                        AllowanceTableTest.WALL + at,
                                        Endpoint.State.RUNNING)));
        Runnable told =
                () -> one.allowances.endpointsUpdated(one.counted(now), one.wall(now), true, list);
        if (paused(one)) {
            woken.add(told);
        } else {
            told.run();
        }
    }

    void send(String from, List<CoordinationSession.Outgoing> letters) {
        for (CoordinationSession.Outgoing out : letters) {
            int copies =
                    lost(from, out.to())
                            ? 0
                            : day == Day.A_BAD_NETWORK && random.nextDouble() < 0.1 ? 2 : 1;
            for (int i = 0; i < copies; i++) {
                mail.add(
                        new Mail(
                                now + (day == Day.A_BAD_NETWORK ? 200 * random.nextDouble() : 1),
                                turns++,
                                from,
                                out));
            }
        }
    }

    void deliver() {
        List<Mail> due = mail.stream().filter(one -> one.atMs <= now).toList();
        mail.removeAll(due);
        for (Mail one : due) {
            TestGatherer to = all.get(one.out.to());
            if (paused(to)) {
                woken.add(() -> received(to, one));
            } else {
                received(to, one);
            }
        }
        if (!troubled() && !woken.isEmpty()) {
            List<Runnable> late = List.copyOf(woken);
            woken.clear();
            late.forEach(Runnable::run);
        }
    }

    void received(TestGatherer to, Mail one) {
        send(
                to.name,
                to.session.receive(to.counted(now), to.wall(now), one.from, one.out.message()));
    }

    void act(TestGatherer one) {
        if (paused(one)) {
            return;
        }
        double counted = one.counted(now);
        double wall = one.wall(now);
        if (now % 200 == 0) {
            one.allowances.tick(counted, wall);
            send(one.name, one.session.tick(counted, wall));
        }
        boolean busy = one.name.startsWith("a");
        if (random.nextDouble() < (busy ? 0.4 : 0.05)) {
            one.allowances.queryReceived(counted, "acme", List.of(0));
        }
        SharedLimit bound =
                random.nextDouble() < 0.3
                        ? SharedLimit.RETRIES
                        : SharedLimit.slowStart("s" + random.nextInt(4));
        int wanted = bound.equals(SharedLimit.RETRIES) ? 1 : 20;
        boolean wants =
                bound.equals(SharedLimit.RETRIES)
                        ? random.nextDouble() < (busy ? 0.5 : 0.01)
                        : random.nextDouble() < (busy ? 0.9 : 0.2);
        int room = one.allowances.clusterView(counted, wall).allowances().getOrDefault(bound, -1);
        if (!wants || room < wanted) {
            return;
        }
        Grant grant = one.allowances.consume(counted, wall, bound, wanted);
        if (grant == null) {
            broken.add(
                    now
                            + ": "
                            + one.name
                            + " was told of "
                            + room
                            + " of "
                            + bound
                            + " and got nothing");
            return;
        }
        double writtenAt = now + 250 * random.nextDouble();
        Runnable write =
                () -> {
                    if (one.allowances.isValid(one.counted(now), one.wall(now), grant)) {
                        written(one, bound, wanted);
                    }
                };
        // A stop between decision and write is the case to meet.
        if (day == Day.PAUSED && one.name.equals("a-0") && writtenAt >= FROM && now < FROM) {
            woken.add(write);
        } else {
            double at = now;
            now = writtenAt;
            write.run();
            now = at;
        }
    }

    void written(TestGatherer one, SharedLimit bound, int wanted) {
        if (bound.equals(SharedLimit.RETRIES)) {
            furtherSent++;
            furtherByBusy += one.name.equals("a-0") ? 1 : 0;
            count(further, at -> 12, "further");
        } else {
            coldSent++;
            units = wanted;
            double started = startedAt.get(bound.subject());
            count(
                    cold.computeIfAbsent(bound.subject(), none -> new ArrayDeque<>()),
                    at -> AllowanceTableTest.allowed(at - started),
                    bound.subject());
        }
    }

    /**
     * Writes are noted in the order of decisions, a little out of the order of time: each window
     * that holds this one counts.
     */
    void count(ArrayDeque<Sent> sent, DoubleUnaryOperator allowed, String what) {
        sent.add(new Sent(now, what.equals("further") ? 1 : units));
        sent.removeIf(one -> one.atMs <= now - 3 * AllowanceTableTest.WINDOW_MS);
        for (Sent end : sent) {
            double most = allowed.applyAsDouble(end.atMs);
            double sum =
                    sent.stream()
                            .filter(
                                    one ->
                                            one.atMs > end.atMs - AllowanceTableTest.WINDOW_MS
                                                    && one.atMs <= end.atMs)
                            .mapToDouble(Sent::units)
                            .sum();
            if (end.atMs >= now
                    && end.atMs < now + AllowanceTableTest.WINDOW_MS
                    && sum > most + 1e-9) {
                broken.add(
                        end.atMs
                                + ": "
                                + what
                                + ": "
                                + sum
                                + " in a window, "
                                + most
                                + " are allowed");
            }
        }
    }
}
