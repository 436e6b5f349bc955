package sprucehold.cluster.simulation;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import sprucehold.cluster.membership.FailureDetector;
import sprucehold.cluster.membership.MemberMessage;

/**
 * Each tells all that it is there, every period; who is silent for five is held to be dead. To
 * compare with.
 */
final class HeartbeatsToAll implements FailureDetector {
    private static final double PERIOD_MS = 1000;
    private static final double SILENT_MS = 5 * PERIOD_MS;

    private final TreeMap<String, Double> heardAt = new TreeMap<>();
    private double now;

    HeartbeatsToAll(String name, Collection<String> all) {
        all.stream().filter(one -> !one.equals(name)).forEach(one -> heardAt.put(one, 0.0));
    }

    @Override
    public double tickMs() {
        return PERIOD_MS;
    }

    @Override
    public List<Outgoing> tick(double nowMs) {
        now = nowMs;
        var out = new ArrayList<Outgoing>();
        heardAt.keySet()
                .forEach(one -> out.add(new Outgoing(one, new MemberMessage.Ping(0, List.of()))));
        return out;
    }

    @Override
    public List<Outgoing> receive(double nowMs, String from, MemberMessage message) {
        now = nowMs;
        heardAt.put(from, nowMs);
        return List.of();
    }

    @Override
    public Set<String> alive() {
        var there = new TreeSet<String>();
        heardAt.forEach(
                (name, at) -> {
                    if (now - at < SILENT_MS) {
                        there.add(name);
                    }
                });
        return there;
    }
}
