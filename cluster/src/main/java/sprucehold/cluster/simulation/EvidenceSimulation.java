package sprucehold.cluster.simulation;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
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
    private static final String FAILING = "s-0";
    private static final int SOUND = 5;
    private static final double WALL = 1.7e12;

    /** Who has told all of all by then, as after a start long ago. */
    private static final double FAILS_AT_MS = 3000;

    /** What the decisions take for trouble. */
    private static final double TROUBLE = 0.5;

    /**
     * What is played.
     *
     * @param perS dispatches a second of each gatherer to each shard server
     * @param liar whether the first gatherer sees all servers fail, and none does
     */
    public record Setting(
            int members, int sites, double perS, double lengthMs, Network network, boolean liar) {}

    /**
     * What came of it; NaN where not all ever knew.
     *
     * @param aloneMedianMs until a gatherer's own second failure there, after the first moment;
     *     {@code aloneAllMs} of the last one
     * @param toldMedianMs until it holds by the others that the server has trouble; {@code
     *     toldAllMs} of the last one
     * @param believedForNothing gatherers that held a sound server to be in trouble at some moment
     * @param lettersPerS a gatherer and second
     */
    public record Result(
            double aloneMedianMs,
            double aloneAllMs,
            double toldMedianMs,
            double toldAllMs,
            int believedForNothing,
            double lettersPerS) {}

    private record Happening(double atMs, long turn, Runnable what) {}

    private final Setting setting;
    private final Random chance;
    private final List<CoordinationSession> talks = new ArrayList<>();
    private final PriorityQueue<Happening> next =
            new PriorityQueue<>(
                    Comparator.comparingDouble(Happening::atMs).thenComparingLong(Happening::turn));
    private final int[] failures;
    private final double[] aloneAt;
    private final double[] toldAt;
    private final boolean[] fooled;
    private double now;
    private long turns;
    private long letters;

    private EvidenceSimulation(Setting setting, long seed) {
        this.setting = setting;
        this.chance = new Random(seed);
        this.failures = new int[setting.members];
        this.aloneAt = nan();
        this.toldAt = nan();
        this.fooled = new boolean[setting.members];
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

    private void at(double when, Runnable what) {
        next.add(new Happening(when, turns++, what));
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
                            chance.nextLong(),
                            0,
                            WALL);
            talks.add(session);
            session.received(
                    0,
                    WALL,
                    name((i + 1) % setting.members),
                    new ClusterMessage.OfMembers(new MemberMessage.Table(false, all)));
            int member = i;
            at(chance.nextDouble() * session.tickMs(), () -> tick(member));
            for (int server = 0; server <= SOUND; server++) {
                dispatch(member, server);
            }
        }
        while (!next.isEmpty() && next.peek().atMs <= setting.lengthMs) {
            Happening one = next.poll();
            now = one.atMs;
            one.what.run();
        }
        int believed = 0;
        for (boolean one : fooled) {
            believed += one ? 1 : 0;
        }
        return new Result(
                median(aloneAt),
                last(aloneAt),
                median(toldAt),
                last(toldAt),
                believed,
                letters / (double) setting.members / setting.lengthMs * 1000);
    }

    private void dispatch(int member, int server) {
        at(
                now - Math.log(1 - chance.nextDouble()) * 1000 / setting.perS,
                () -> {
                    boolean fails =
                            server == 0 && now >= FAILS_AT_MS && !setting.liar
                                    || setting.liar && member == 0;
                    talks.get(member).saw(now, WALL + now, "s-" + server, "site-0", 0, !fails);
                    if (fails && server == 0 && ++failures[member] == 2) {
                        aloneAt[member] = now - FAILS_AT_MS;
                    }
                    dispatch(member, server);
                });
    }

    private void tick(int member) {
        CoordinationSession session = talks.get(member);
        send(member, session.tick(now, WALL + now));
        for (int server = 0; server <= SOUND; server++) {
            boolean trouble =
                    session.opinion(now, WALL + now, "s-" + server, 0).trouble() > TROUBLE;
            if (trouble && server == 0 && !setting.liar && Double.isNaN(toldAt[member])) {
                toldAt[member] = now - FAILS_AT_MS;
            }
            fooled[member] |= trouble && (server > 0 || setting.liar);
        }
        at(now + session.tickMs(), () -> tick(member));
    }

    private void send(int from, List<CoordinationSession.Out> out) {
        for (CoordinationSession.Out one : out) {
            letters++;
            if (!setting.network.loses(chance)) {
                int to = Integer.parseInt(one.to().substring(1));
                at(
                        now + setting.network.way(chance),
                        () ->
                                send(
                                        to,
                                        talks.get(to)
                                                .received(
                                                        now,
                                                        WALL + now,
                                                        name(from),
                                                        one.letter())));
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
