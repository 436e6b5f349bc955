package sprucehold.cluster.simulation;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import sprucehold.cluster.membership.FailureDetector;
import sprucehold.cluster.membership.MemberMessage;
import sprucehold.cluster.membership.MemberUpdate;

/**
 * Each counts up a heartbeat a period and tells the whole table to three others drawn by chance;
 * who hasn't counted up for far longer than it used to is held to be dead: phi accrual (Hayashibara
 * and others 2004) at 8 on a normal distribution of the times between two counts. To compare with.
 */
final class PhiGossip implements FailureDetector {
    private static final double PERIOD_MS = 1000;
    private static final int FANOUT = 3;

    /** Pieces of a table in a datagram, as the membership has. */
    private static final int CHUNK_SIZE = 12;

    /** Standard deviations beyond the mean at which phi is 8. */
    private static final double DEVIATIONS = 5.6;

    /** Guards against times so even that the least delay would kill. */
    private static final double LEAST_DEVIATION_MS = PERIOD_MS / 4;

    private static final class Beats {
        int count;
        double atMs;
        double mean = PERIOD_MS;
        double variance = PERIOD_MS * PERIOD_MS / 4;
    }

    private final String name;
    private final Random random;
    private final TreeMap<String, Beats> all = new TreeMap<>();
    private double now;

    PhiGossip(String name, Collection<String> all, Random random) {
        this.name = name;
        this.random = random;
        all.forEach(one -> this.all.put(one, new Beats()));
    }

    @Override
    public double tickMs() {
        return PERIOD_MS;
    }

    @Override
    public List<Outgoing> tick(double nowMs) {
        now = nowMs;
        all.get(name).count++;
        var out = new ArrayList<Outgoing>();
        List<String> others = new ArrayList<>(alive());
        for (int i = 0; i < Math.min(FANOUT, others.size()); i++) {
            String to = others.get(random.nextInt(others.size()));
            var chunk = new ArrayList<MemberUpdate>();
            for (var one : all.entrySet()) {
                if (one.getValue().count > 0) {
                    chunk.add(
                            new MemberUpdate(
                                    one.getKey(),
                                    "",
                                    1,
                                    one.getValue().count,
                                    MemberUpdate.State.ALIVE));
                }
                if (chunk.size() == CHUNK_SIZE) {
                    out.add(
                            new Outgoing(
                                    to, new MemberMessage.MemberTable(false, List.copyOf(chunk))));
                    chunk.clear();
                }
            }
            if (!chunk.isEmpty()) {
                out.add(new Outgoing(to, new MemberMessage.MemberTable(false, List.copyOf(chunk))));
            }
        }
        return out;
    }

    @Override
    public List<Outgoing> receive(double nowMs, String from, MemberMessage message) {
        now = nowMs;
        for (MemberUpdate update : message.updates()) {
            Beats beats = all.get(update.name());
            if (update.incarnation() > beats.count) {
                double took = now - beats.atMs;
                if (beats.count > 0) {
                    // The last ten or so count.
                    beats.variance +=
                            0.1 * ((took - beats.mean) * (took - beats.mean) - beats.variance);
                    beats.mean += 0.1 * (took - beats.mean);
                }
                beats.count = update.incarnation();
                beats.atMs = now;
            }
        }
        return List.of();
    }

    @Override
    public Set<String> alive() {
        var there = new TreeSet<String>();
        all.forEach(
                (one, beats) -> {
                    double deviation = Math.max(LEAST_DEVIATION_MS, Math.sqrt(beats.variance));
                    if (!one.equals(name)
                            && now - beats.atMs < beats.mean + DEVIATIONS * deviation) {
                        there.add(one);
                    }
                });
        return there;
    }
}
