package sprucehold.cluster.simulation;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import sprucehold.cluster.membership.MemberMessage;
import sprucehold.cluster.membership.MemberUpdate;
import sprucehold.cluster.session.ClusterMessage;
import sprucehold.cluster.session.CoordinationSession;
import sprucehold.cluster.session.SessionSettings;

/**
 * Simulates a fleet with a shard server that fails from some time on. Measures how soon the
 * gatherers detect the failure, each by its own attempts and by the observations of the others.
 */
public final class EvidenceSimulation {
    private static final int HEALTHY_SERVERS = 5;
    private static final double WALL_START_MS = 1.7e12;

    /**
     * Time at which the shard server begins to fail, in milliseconds. By then, all gatherers have
     * exchanged their observations, as in a fleet that started long ago.
     */
    private static final double FAILS_AT_MS = 3000;

    /** Failure score above which the decisions avoid a server. */
    private static final double FAILURE_SCORE_LIMIT = 0.5;

    /**
     * Settings of a simulation.
     *
     * @param attemptsPerSecond attempts per second of each gatherer to each shard server
     * @param lyingObserver whether the first gatherer reports that all servers fail although none
     *     does
     */
    public record Setting(
            int members,
            int sites,
            double attemptsPerSecond,
            double lengthMs,
            Network network,
            boolean lyingObserver) {}

    /**
     * Result of a simulation. A median is NaN unless more than half of the gatherers detected the
     * failure, and the time of the last gatherer is NaN unless all did.
     *
     * @param ownMedianMs median time from the start of the failure to a gatherer's own second
     *     failed attempt; {@code ownAllMs} is the time of the last gatherer
     * @param sharedMedianMs median time from the start of the failure until a gatherer considers
     *     the server failing by the observations of others; {@code sharedAllMs} is the time of the
     *     last gatherer
     * @param falselySuspecting number of gatherers that considered a healthy server failing at any
     *     time
     * @param messagesPerSecond messages per gatherer and second
     */
    public record Result(
            double ownMedianMs,
            double ownAllMs,
            double sharedMedianMs,
            double sharedAllMs,
            int falselySuspecting,
            double messagesPerSecond) {}

    private final Setting setting;
    private final Random random;
    private final List<CoordinationSession> sessions = new ArrayList<>();
    private final EventQueue events = new EventQueue();
    private final int[] failures;
    private final double[] aloneAtMs;
    private final double[] toldAtMs;
    private final boolean[] falselySuspecting;
    private long messages;

    private EvidenceSimulation(Setting setting, long seed) {
        this.setting = setting;
        this.random = new Random(seed);
        this.failures = new int[setting.members];
        this.aloneAtMs = nan();
        this.toldAtMs = nan();
        this.falselySuspecting = new boolean[setting.members];
    }

    private double[] nan() {
        double[] all = new double[setting.members];
        Arrays.fill(all, Double.NaN);
        return all;
    }

    /** Runs a simulation. The result is the same for the same seed. */
    public static Result run(Setting setting, long seed) {
        return new EvidenceSimulation(setting, seed).run();
    }

    private static String name(int member) {
        return "g" + member;
    }

    private Result run() {
        var sites = new TreeMap<String, String>();
        var all = new ArrayList<MemberUpdate>();
        for (int i = 0; i < setting.members; i++) {
            sites.put(name(i), "site-" + i % setting.sites);
            all.add(
                    new MemberUpdate(
                            name(i), "site-" + i % setting.sites, 1, 0, MemberUpdate.State.ALIVE));
        }
        for (int i = 0; i < setting.members; i++) {
            var session =
                    new CoordinationSession(
                            new SessionSettings(Map.of(), 1000, 5000),
                            name(i),
                            sites.get(name(i)),
                            1,
                            sites,
                            random.nextLong(),
                            0,
                            WALL_START_MS);
            sessions.add(session);
            session.receive(
                    0,
                    WALL_START_MS,
                    name((i + 1) % setting.members),
                    new ClusterMessage.MembershipPart(new MemberMessage.MemberTable(false, all)));
            int member = i;
            events.schedule(random.nextDouble() * session.tickMs(), () -> tick(member));
            for (int server = 0; server <= HEALTHY_SERVERS; server++) {
                scheduleAttempt(member, server);
            }
        }
        events.runUntil(setting.lengthMs);
        int suspecting = 0;
        for (boolean suspects : falselySuspecting) {
            suspecting += suspects ? 1 : 0;
        }
        return new Result(
                median(aloneAtMs),
                last(aloneAtMs),
                median(toldAtMs),
                last(toldAtMs),
                suspecting,
                messages / (double) setting.members / setting.lengthMs * 1000);
    }

    private void scheduleAttempt(int member, int server) {
        events.schedule(
                events.nowMs()
                        - Math.log(1 - random.nextDouble()) * 1000 / setting.attemptsPerSecond,
                () -> {
                    boolean fails = isFailing(member, server);
                    sessions.get(member)
                            .recordAttempt(
                                    events.nowMs(),
                                    WALL_START_MS + events.nowMs(),
                                    "s-" + server,
                                    "site-0",
                                    0,
                                    !fails);
                    if (fails && server == 0 && ++failures[member] == 2) {
                        aloneAtMs[member] = events.nowMs() - FAILS_AT_MS;
                    }
                    scheduleAttempt(member, server);
                });
    }

    /**
     * Whether a member observes a server as failing. The first server fails for all members; with
     * {@code lyingObserver}, the first member observes all servers as failing.
     */
    private boolean isFailing(int member, int server) {
        return setting.lyingObserver ? member == 0 : server == 0 && events.nowMs() >= FAILS_AT_MS;
    }

    private void tick(int member) {
        CoordinationSession session = sessions.get(member);
        send(member, session.tick(events.nowMs(), WALL_START_MS + events.nowMs()));
        for (int server = 0; server <= HEALTHY_SERVERS; server++) {
            boolean suspected =
                    session.assess(events.nowMs(), WALL_START_MS + events.nowMs(), "s-" + server, 0)
                                    .failureScore()
                            > FAILURE_SCORE_LIMIT;
            if (suspected
                    && server == 0
                    && !setting.lyingObserver
                    && Double.isNaN(toldAtMs[member])) {
                toldAtMs[member] = events.nowMs() - FAILS_AT_MS;
            }
            falselySuspecting[member] |= suspected && (server > 0 || setting.lyingObserver);
        }
        events.schedule(events.nowMs() + session.tickMs(), () -> tick(member));
    }

    private void send(int from, List<CoordinationSession.Outgoing> out) {
        for (CoordinationSession.Outgoing outgoing : out) {
            messages++;
            if (!setting.network.isLost(random)) {
                int to = Integer.parseInt(outgoing.to().substring(1));
                events.schedule(
                        events.nowMs() + setting.network.drawDelayMs(random),
                        () ->
                                send(
                                        to,
                                        sessions.get(to)
                                                .receive(
                                                        events.nowMs(),
                                                        WALL_START_MS + events.nowMs(),
                                                        name(from),
                                                        outgoing.message())));
            }
        }
    }

    private static double median(double[] values) {
        double[] sorted =
                Arrays.stream(values).filter(value -> !Double.isNaN(value)).sorted().toArray();
        return sorted.length <= values.length / 2 ? Double.NaN : sorted[values.length / 2];
    }

    private static double last(double[] values) {
        return Arrays.stream(values).anyMatch(Double::isNaN)
                ? Double.NaN
                : Arrays.stream(values).max().orElse(Double.NaN);
    }
}
