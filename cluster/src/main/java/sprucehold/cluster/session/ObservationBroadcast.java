package sprucehold.cluster.session;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Deque;
import java.util.List;
import java.util.Random;
import java.util.Set;
import sprucehold.cluster.counter.CounterTable;
import sprucehold.cluster.evidence.EvidenceTable;

/**
 * Sends this gatherer's own counters and observations to a few other gatherers at a time, in rounds
 * through all of them; the order is random in each round. Gatherers don't forward the observations
 * of others: forwarding would be faster, but would let one lying gatherer make claims in the name
 * of many.
 */
final class ObservationBroadcast {
    private static final double INTERVAL_MS = 1000;

    /** Number of receivers of one broadcast. */
    private static final int RECEIVERS = 8;

    /**
     * Number of receivers of one broadcast while this gatherer sees a server fail: a hundred other
     * gatherers receive the observation within four seconds, before it has decayed.
     */
    private static final int RECEIVERS_OF_FAILURES = 25;

    private static final int MAX_COUNTERS = 6;
    private static final int MAX_OBSERVATIONS = 4;

    private final CounterTable counters;
    private final EvidenceTable evidence;
    private final Random random;
    private final Deque<String> round = new ArrayDeque<>();
    private double sentAtMs;

    ObservationBroadcast(CounterTable counters, EvidenceTable evidence, Random random) {
        this.counters = counters;
        this.evidence = evidence;
        this.random = random;
    }

    /**
     * Sends a broadcast if the interval has passed and there are counters or observations to send.
     */
    void tick(double nowMs, Set<String> peers, List<CoordinationSession.Outgoing> out) {
        if (nowMs - sentAtMs < INTERVAL_MS) {
            return;
        }
        sentAtMs = nowMs;
        var message =
                new ClusterMessage.ObservationPart(
                        counters.ownCounters(MAX_COUNTERS),
                        evidence.observationsToSend(nowMs, MAX_OBSERVATIONS));
        if (message.counters().isEmpty() && message.observations().isEmpty()) {
            return;
        }
        int receivers = reportsFailures(message) ? RECEIVERS_OF_FAILURES : RECEIVERS;
        for (int left = Math.min(receivers, peers.size()); left > 0; left--) {
            String receiver = next(peers);
            if (peers.contains(receiver)) {
                out.add(new CoordinationSession.Outgoing(receiver, message));
            }
        }
    }

    private static boolean reportsFailures(ClusterMessage.ObservationPart message) {
        return message.observations().stream()
                .anyMatch(observation -> observation.failures() > observation.successes());
    }

    private String next(Set<String> peers) {
        if (round.isEmpty()) {
            List<String> next = new ArrayList<>(peers);
            Collections.shuffle(next, random);
            round.addAll(next);
        }
        return round.poll();
    }
}
