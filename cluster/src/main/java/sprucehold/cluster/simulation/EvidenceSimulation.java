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
 * A fleet one of whose shard servers fails from a moment on: how soon its gatherers know that, each
 * alone and by the others.
 */
public final class EvidenceSimulation {
    private static final int SOUND = 5;
    private static final double WALL = 1.7e12;

    /** Who has told all of all by then, as after a start long ago. */
    private static final double FAILS_AT_MS = 3000;

    /** The failure score above which the decisions avoid a server. */
    private static final double FAILURE_SCORE_LIMIT = 0.5;

    /**
     * What is played.
     *
     * @param attemptsPerSecond attempts a second of each gatherer to each shard server
     * @param lyingObserver whether the first gatherer sees all servers fail, and none does
     */
    public record Setting(
            int members,
            int sites,
            double attemptsPerSecond,
            double lengthMs,
            Network network,
            boolean lyingObserver) {}

    /**
     * What came of it; NaN where not all ever knew.
     *
     * @param aloneMedianMs until a gatherer's own second failure there, after the first moment;
     *     {@code aloneAllMs} of the last one
     * @param toldMedianMs until it holds by the others that the server fails; {@code toldAllMs} of
     *     the last one
     * @param falselySuspecting gatherers that held a sound server to fail at some moment
     * @param messagesPerSecond a gatherer and second
     */
    public record Result(
            double aloneMedianMs,
            double aloneAllMs,
            double toldMedianMs,
            double toldAllMs,
            int falselySuspecting,
            double messagesPerSecond) {}

    private final Setting setting;
    private final Random random;
    private final List<CoordinationSession> sessions = new ArrayList<>();
    private final EventQueue events = new EventQueue();
    private final int[] failures;
    private final double[] aloneAt;
    private final double[] toldAt;
    private final boolean[] falselySuspecting;
    private long messages;

    private EvidenceSimulation(Setting setting, long seed) {
        this.setting = setting;
        this.random = new Random(seed);
        this.failures = new int[setting.members];
        this.aloneAt = nan();
        this.toldAt = nan();
        this.falselySuspecting = new boolean[setting.members];
    }

    private double[] nan() {
        double[] all = new double[setting.members];
        Arrays.fill(all, Double.NaN);
        return all;
    }

    /** Plays it; the same for the same seed. */
    public static Result play(Setting setting, long seed) {
        return new EvidenceSimulation(setting, seed).play();
    }

    private static String name(int member) {
        return "g" + member;
    }

    private Result play() {
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
                            WALL);
            sessions.add(session);
            session.receive(
                    0,
                    WALL,
                    name((i + 1) % setting.members),
                    new ClusterMessage.MembershipPart(new MemberMessage.MemberTable(false, all)));
            int member = i;
            events.schedule(random.nextDouble() * session.tickMs(), () -> tick(member));
            for (int server = 0; server <= SOUND; server++) {
                scheduleAttempt(member, server);
            }
        }
        events.runUntil(setting.lengthMs);
        int believed = 0;
        for (boolean one : falselySuspecting) {
            believed += one ? 1 : 0;
        }
        return new Result(
                median(aloneAt),
                last(aloneAt),
                median(toldAt),
                last(toldAt),
                believed,
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
                                    WALL + events.nowMs(),
                                    "s-" + server,
                                    "site-0",
                                    0,
                                    !fails);
                    if (fails && server == 0 && ++failures[member] == 2) {
                        aloneAt[member] = events.nowMs() - FAILS_AT_MS;
                    }
                    scheduleAttempt(member, server);
                });
    }

    /** Whether a member sees a server fail: the first one does, or the lying member sees all. */
    private boolean isFailing(int member, int server) {
        return setting.lyingObserver ? member == 0 : server == 0 && events.nowMs() >= FAILS_AT_MS;
    }

    private void tick(int member) {
        CoordinationSession session = sessions.get(member);
        send(member, session.tick(events.nowMs(), WALL + events.nowMs()));
        for (int server = 0; server <= SOUND; server++) {
            boolean suspected =
                    session.assess(events.nowMs(), WALL + events.nowMs(), "s-" + server, 0)
                                    .failureScore()
                            > FAILURE_SCORE_LIMIT;
            if (suspected
                    && server == 0
                    && !setting.lyingObserver
                    && Double.isNaN(toldAt[member])) {
                toldAt[member] = events.nowMs() - FAILS_AT_MS;
            }
            falselySuspecting[member] |= suspected && (server > 0 || setting.lyingObserver);
        }
        events.schedule(events.nowMs() + session.tickMs(), () -> tick(member));
    }

    private void send(int from, List<CoordinationSession.Outgoing> out) {
        for (CoordinationSession.Outgoing one : out) {
            messages++;
            if (!setting.network.loses(random)) {
                int to = Integer.parseInt(one.to().substring(1));
                events.schedule(
                        events.nowMs() + setting.network.way(random),
                        () ->
                                send(
                                        to,
                                        sessions.get(to)
                                                .receive(
                                                        events.nowMs(),
                                                        WALL + events.nowMs(),
                                                        name(from),
                                                        one.message())));
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
