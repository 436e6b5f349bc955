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
 * Failure detection for comparison: each member sends a heartbeat to all others every period. A
 * member without a heartbeat for five periods is considered dead.
 */
final class HeartbeatsToAll implements FailureDetector {
    private static final double PERIOD_MS = 1000;
    private static final double TIMEOUT_MS = 5 * PERIOD_MS;

    private final TreeMap<String, Double> receivedAtMs = new TreeMap<>();
    private double now;

    HeartbeatsToAll(String name, Collection<String> all) {
        all.stream()
                .filter(peer -> !peer.equals(name))
                .forEach(peer -> receivedAtMs.put(peer, 0.0));
    }

    @Override
    public double tickMs() {
        return PERIOD_MS;
    }

    @Override
    public List<Outgoing> tick(double nowMs) {
        now = nowMs;
        var out = new ArrayList<Outgoing>();
        receivedAtMs
                .keySet()
                .forEach(peer -> out.add(new Outgoing(peer, new MemberMessage.Ping(0, List.of()))));
        return out;
    }

    @Override
    public List<Outgoing> receive(double nowMs, String from, MemberMessage message) {
        now = nowMs;
        receivedAtMs.put(from, nowMs);
        return List.of();
    }

    @Override
    public Set<String> alive() {
        var alive = new TreeSet<String>();
        receivedAtMs.forEach(
                (name, at) -> {
                    if (now - at < TIMEOUT_MS) {
                        alive.add(name);
                    }
                });
        return alive;
    }
}
