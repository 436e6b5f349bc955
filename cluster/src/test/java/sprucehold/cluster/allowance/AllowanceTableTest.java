package sprucehold.cluster.allowance;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.DoubleUnaryOperator;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import sprucehold.cluster.session.CoordinationSession;
import sprucehold.cluster.session.SessionSettings;
import sprucehold.decision.Deployment;
import sprucehold.decision.Endpoint;
import sprucehold.decision.QueryClass;
import sprucehold.decision.SharedLimit;
import sprucehold.decision.Tenant;

/**
 * Shared bounds as decisions see them: one gatherer by hand, and whole fleets whose every send is
 * counted in true time.
 */
public class AllowanceTableTest {
    private static final double WALL = 1.7e12;
    private static final double WINDOW_MS = 1000;
    private static final double WARM_MS = 5000;
    private static final double MULTIPLE = 1;
    private static final Set<SharedLimit.Kind> ALL = EnumSet.allOf(SharedLimit.Kind.class);

    private static Deployment facts() {
        return new Deployment(
                6,
                "a",
                5,
                0.2,
                List.of(
                        new QueryClass(
                                "q", QueryClass.Idempotence.IDEMPOTENT, 80, 1, 0.3, 0, 1, 1, 0)),
                List.of(new Tenant("acme", 12)),
                new Deployment.ShardLayout(2, 1, 1),
                new Deployment.Limits(3, 100, true, true, 500),
                new Deployment.SlowStartRule(0.2, WARM_MS, MULTIPLE, WINDOW_MS),
                Deployment.RetryBudget.NONE,
                new Deployment.EndpointSubscription(false, 10_000));
    }

    /**
     * What a server that started so long ago may be sent in a window, by all gatherers together.
     */
    private static double allowed(double ageMs) {
        return MULTIPLE * (0.2 + 0.8 * Math.min(1, ageMs / WARM_MS)) * WINDOW_MS;
    }

    private static Endpoint listing(String server, double startedAt, Endpoint.State mode) {
        return new Endpoint(server, 0, "z", startedAt, mode);
    }

    /** One of a fleet, with clocks that may be wrong. */
    private static final class One {
        final String name;
        double drift;
        double offMs;
        CoordinationSession session;
        AllowanceTable allowances;
        double bornAt;

        One(String name) {
            this.name = name;
        }

        double counted(double now) {
            return (now - bornAt) * (1 + drift);
        }

        double wall(double now) {
            return WALL + now + offMs;
        }

        void begin(double now, List<String> fleet, long seed) {
            bornAt = now;
            var sites = new TreeMap<String, String>();
            fleet.forEach(one -> sites.put(one, one.substring(0, 1)));
            session =
                    new CoordinationSession(
                            new SessionSettings(Map.of(), 500, 5000),
                            name,
                            sites.get(name),
                            (long) wall(now),
                            sites,
                            seed,
                            0,
                            wall(now));
            allowances =
                    new AllowanceTable(
                            facts(),
                            new AllowanceSettings(
                                    name, fleet, ALL, 12, WINDOW_MS, 300, 0.002, 10_000),
                            session,
                            0,
                            wall(now));
        }

        int room(double now, SharedLimit bound) {
            return allowances
                    .clusterView(counted(now), wall(now))
                    .allowances()
                    .getOrDefault(bound, -1);
        }
    }

    private static One alone(double now) {
        var one = new One("a-0");
        one.begin(now, List.of("a-0", "a-1", "b-0", "b-1", "c-0", "c-1"), 1);
        return one;
    }

    @Test
    public void ownUnitsAddUpToTheLimitWhateverItsSize() {
        List<String> fleet = List.of("x", "y", "z", "v", "w");
        for (int units : new int[] {0, 1, 4, 5, 7, 800, 1_000_003}) {
            for (String bound : List.of("FURTHER", "COLD s-1@17", "CUSTOMER acme")) {
                int sum =
                        fleet.stream()
                                .mapToInt(
                                        self ->
                                                new AllowanceSettings(
                                                                self, fleet, ALL, 1, 1, 1, 0, 0)
                                                        .ownUnits(bound, units))
                                .sum();
                assertEquals(sum, units, bound);
            }
        }
    }

    @Test
    public void aGathererThatIsNotOfTheFleetIsOneClearError() {
        assertEquals(
                expectThrows(
                                IllegalArgumentException.class,
                                () -> new AllowanceSettings("x", List.of("y"), ALL, 1, 1, 1, 0, 0))
                        .getMessage(),
                "fleet: x was expected among 1 names");
    }

    @DataProvider
    Object[][] starts() {
        return new Object[][] {
            // how long ago its wall clock says that the server started, 0 for long ago; what a
            // gatherer alone may send at once
            {"just now", 10.0, 33},
            {"three seconds ago, but clocks may be ten apart", 3000.0, 33},
            {"long ago", 60_000.0, -1},
            {"ahead of this clock", -5000.0, 33},
            {"not told", WALL + 50_000, -1},
        };
    }

    @Test(dataProvider = "starts")
    public void aWarmingServerIsSharedFromTheUpdateOfItsStart(String what, double agoMs, int room) {
        One one = alone(0);
        double now = 50_000;
        one.allowances.endpointsUpdated(
                one.counted(now),
                one.wall(now),
                true,
                List.of(listing("s", WALL + now - agoMs, Endpoint.State.RUNNING)));
        // After so long in one life nothing of an earlier one can be out: the whole home is free at
        // once.
        int found = one.room(now, SharedLimit.slowStart("s"));
        assertTrue(room < 0 ? found < 0 : found >= room && found <= room + 1, what + ": " + found);
    }

    @Test
    public void aWarmingServerFoundAfterARestartWaitsUntilEarlierLeasesHaveLapsed() {
        One one = alone(0);
        one.allowances.endpointsUpdated(
                0, one.wall(0), true, List.of(listing("s", WALL, Endpoint.State.RUNNING)));
        assertEquals(one.room(0, SharedLimit.slowStart("s")), 0);
        assertEquals(
                one.room(3000, SharedLimit.slowStart("s")),
                (int) (allowed(3000 * 0.998) - allowed(0)) / 6,
                "what it has grown by alone");
        assertTrue(
                one.room(3400, SharedLimit.slowStart("s")) > 33 + 80,
                "a term, a window, the patience and their drift later");
    }

    @Test
    public void allowanceGrowsWithWarmthAndOwnGrowthIsConsumedFirst() {
        One one = alone(0);
        double now = 50_000;
        one.allowances.endpointsUpdated(
                one.counted(now),
                one.wall(now),
                true,
                List.of(listing("s", WALL + now, Endpoint.State.RUNNING)));
        now += 2500;
        int room = one.room(now, SharedLimit.slowStart("s"));
        assertTrue(room >= 33 + 65 && room <= 34 + 67, "half warm: " + room);
        Grant grant =
                one.allowances.consume(
                        one.counted(now), one.wall(now), SharedLimit.slowStart("s"), room);
        assertNotNull(grant);
        assertEquals(one.room(now, SharedLimit.slowStart("s")), 0);
        assertNull(
                one.allowances.consume(
                        one.counted(now), one.wall(now), SharedLimit.slowStart("s"), 1),
                "nothing more than there is");
        assertTrue(one.allowances.isValid(one.counted(now + 290), one.wall(now + 290), grant));
        assertFalse(
                one.allowances.isValid(one.counted(now + 310), one.wall(now + 310), grant),
                "beyond the patience");
        assertTrue(
                one.room(now + 1200, SharedLimit.slowStart("s")) < room,
                "it counts for a window and the patience");
        assertTrue(one.room(now + 1400, SharedLimit.slowStart("s")) >= room);
        one.allowances.tick(one.counted(now + 2600), one.wall(now + 2600));
        assertEquals(
                one.room(now + 2600, SharedLimit.slowStart("s")),
                -1,
                "warm, and no longer a bound");
    }

    @DataProvider
    Object[][] gone() {
        return new Object[][] {
            {"drains: nothing of what it has out is forgotten", Endpoint.State.DRAINING, true},
            {"gone", Endpoint.State.GONE, false},
        };
    }

    @Test(dataProvider = "gone")
    public void aServerThatComesBackUnderTheSameStartHasNoNewLimit(
            String what, Endpoint.State mode, boolean stays) {
        One one = alone(0);
        double now = 50_000;
        var running = List.of(listing("s", WALL + now, Endpoint.State.RUNNING));
        one.allowances.endpointsUpdated(one.counted(now), one.wall(now), true, running);
        assertNotNull(
                one.allowances.consume(
                        one.counted(now), one.wall(now), SharedLimit.slowStart("s"), 33));
        one.allowances.endpointsUpdated(
                one.counted(now), one.wall(now), false, List.of(listing("s", WALL + now, mode)));
        assertEquals(one.room(now, SharedLimit.slowStart("s")) >= 0, stays, what);
        one.allowances.endpointsUpdated(one.counted(now), one.wall(now), false, running);
        assertTrue(
                one.room(now, SharedLimit.slowStart("s")) <= 1,
                "used just now, whatever the list says in between");
    }

    @Test
    public void whatIsNotSharedIsNeverRefused() {
        var one = new One("a-0");
        one.begin(0, List.of("a-0", "b-0"), 1);
        one.allowances =
                new AllowanceTable(
                        facts(),
                        new AllowanceSettings(
                                "a-0", List.of("a-0", "b-0"), Set.of(), 0, 1000, 300, 0, 0),
                        one.session,
                        0,
                        WALL);
        one.allowances.endpointsUpdated(
                0, WALL, true, List.of(listing("s", WALL, Endpoint.State.RUNNING)));
        for (SharedLimit bound :
                List.of(
                        SharedLimit.RETRIES,
                        SharedLimit.slowStart("s"),
                        SharedLimit.tenantQuota("acme"),
                        SharedLimit.tenantQuota("nobody"))) {
            Grant grant = one.allowances.consume(0, WALL, bound, 1_000_000);
            assertTrue(grant != null && one.allowances.isValid(0, WALL, grant), bound.toString());
        }
        assertEquals(one.allowances.clusterView(0, WALL).allowances(), Map.of());
    }

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

    @DataProvider
    Object[][] days() {
        var rows = new ArrayList<Object[]>();
        for (Day day : Day.values()) {
            for (long seed = 1; seed <= 4; seed++) {
                rows.add(new Object[] {day, seed});
            }
        }
        return rows.toArray(new Object[0][]);
    }

    @Test(dataProvider = "days")
    public void noWindowExceedsTheLimitsWhateverHappens(Day day, long seed) {
        var fleet = new Fleet(day, seed);
        fleet.play();
        assertEquals(fleet.broken, List.of());
        assertTrue(
                fleet.coldSent > 50 && fleet.furtherSent > 50,
                "too little to prove anything: " + fleet.coldSent + " " + fleet.furtherSent);
    }

    @Test
    public void sharingUsesMoreOfTheLimitThanEqualParts() {
        var fleet = new Fleet(Day.CALM, 1);
        fleet.play();
        // Alone a busy one of six may make two further dispatches a second of the twelve.
        assertTrue(
                fleet.furtherByBusy > 1.5 * 2 * 14,
                "further dispatches of the busy one in 14 s: " + fleet.furtherByBusy);
    }

    /** Six gatherers, two of them busy, four servers that come back cold again and again. */
    private static final class Fleet {
        private static final List<String> NAMES = List.of("a-0", "a-1", "b-0", "b-1", "c-0", "c-1");
        private static final double FROM = 6000;
        private static final double TO = 12_000;

        private record Sent(double atMs, double units) {}

        private record Mail(
                double atMs, long turn, String from, CoordinationSession.Outgoing out) {}

        final Day day;
        final Random random;
        final Map<String, One> all = new TreeMap<>();
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

        Fleet(Day day, long seed) {
            this.day = day;
            this.random = new Random(seed);
            for (String name : NAMES) {
                var one = new One(name);
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

        boolean paused(One one) {
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
                    // One after the other dies and is back.
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

        void tell(One one) {
            var list = new ArrayList<Endpoint>();
            startedAt.forEach(
                    (server, at) -> list.add(listing(server, WALL + at, Endpoint.State.RUNNING)));
            Runnable told =
                    () ->
                            one.allowances.endpointsUpdated(
                                    one.counted(now), one.wall(now), true, list);
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
                                    now
                                            + (day == Day.A_BAD_NETWORK
                                                    ? 200 * random.nextDouble()
                                                    : 1),
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
                One to = all.get(one.out.to());
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

        void received(One to, Mail one) {
            send(
                    to.name,
                    to.session.receive(to.counted(now), to.wall(now), one.from, one.out.message()));
        }

        void act(One one) {
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
            int room =
                    one.allowances.clusterView(counted, wall).allowances().getOrDefault(bound, -1);
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

        void written(One one, SharedLimit bound, int wanted) {
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
                        at -> allowed(at - started),
                        bound.subject());
            }
        }

        /**
         * Writes are noted in the order of decisions, a little out of the order of time: each
         * window that holds this one counts.
         */
        void count(ArrayDeque<Sent> sent, DoubleUnaryOperator allowed, String what) {
            sent.add(new Sent(now, what.equals("further") ? 1 : units));
            sent.removeIf(one -> one.atMs <= now - 3 * WINDOW_MS);
            for (Sent end : sent) {
                double most = allowed.applyAsDouble(end.atMs);
                double sum =
                        sent.stream()
                                .filter(
                                        one ->
                                                one.atMs > end.atMs - WINDOW_MS
                                                        && one.atMs <= end.atMs)
                                .mapToDouble(Sent::units)
                                .sum();
                if (end.atMs >= now && end.atMs < now + WINDOW_MS && sum > most + 1e-9) {
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
}
