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
 * Failure detection for comparison: each member increments its heartbeat count every period, and
 * sends the whole table to three random members. A member is considered dead if its count hasn't
 * increased for far longer than usual: phi accrual (Hayashibara and others 2004) with a threshold
 * of 8 and a normal distribution of the times between two increments.
 */
final class PhiGossip implements FailureDetector {
    private static final double PERIOD_MS = 1000;
    private static final int FANOUT = 3;

    /**
     * Maximum number of table entries in one message, so that it fits into a datagram; the same
     * number as in {@code Dissemination}.
     */
    private static final int CHUNK_SIZE = 12;

    /** Number of standard deviations above the mean at which phi is 8. */
    private static final double DEVIATIONS = 5.6;

    /**
     * Minimum standard deviation, in milliseconds. Without it, a member with very regular
     * heartbeats would be considered dead after the slightest delay.
     */
    private static final double MIN_DEVIATION_MS = PERIOD_MS / 4;

    private static final class HeartbeatHistory {
        int count;
        double atMs;
        double mean = PERIOD_MS;
        double variance = PERIOD_MS * PERIOD_MS / 4;
    }

    private final String name;
    private final Random random;
    private final TreeMap<String, HeartbeatHistory> histories = new TreeMap<>();
    private double now;

    PhiGossip(String name, Collection<String> all, Random random) {
        this.name = name;
        this.random = random;
        all.forEach(member -> this.histories.put(member, new HeartbeatHistory()));
    }

    @Override
    public double tickMs() {
        return PERIOD_MS;
    }

    @Override
    public List<Outgoing> tick(double nowMs) {
        now = nowMs;
        histories.get(name).count++;
        var out = new ArrayList<Outgoing>();
        List<String> others = new ArrayList<>(alive());
        for (int i = 0; i < Math.min(FANOUT, others.size()); i++) {
            String to = others.get(random.nextInt(others.size()));
            var chunk = new ArrayList<MemberUpdate>();
            for (var entry : histories.entrySet()) {
                if (entry.getValue().count > 0) {
                    chunk.add(
                            new MemberUpdate(
                                    entry.getKey(),
                                    "",
                                    1,
                                    entry.getValue().count,
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
            HeartbeatHistory history = histories.get(update.name());
            if (update.incarnation() > history.count) {
                double intervalMs = now - history.atMs;
                if (history.count > 0) {
                    // Exponential moving averages over about the last ten intervals.
                    history.variance +=
                            0.1
                                    * ((intervalMs - history.mean) * (intervalMs - history.mean)
                                            - history.variance);
                    history.mean += 0.1 * (intervalMs - history.mean);
                }
                history.count = update.incarnation();
                history.atMs = now;
            }
        }
        return List.of();
    }

    @Override
    public Set<String> alive() {
        var alive = new TreeSet<String>();
        histories.forEach(
                (member, history) -> {
                    double deviation = Math.max(MIN_DEVIATION_MS, Math.sqrt(history.variance));
                    if (!member.equals(name)
                            && now - history.atMs < history.mean + DEVIATIONS * deviation) {
                        alive.add(member);
                    }
                });
        return alive;
    }
}
