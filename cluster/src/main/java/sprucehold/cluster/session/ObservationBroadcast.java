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
 * Sends what this gatherer itself has counted and observed to others, a few at a time, in turn,
 * each round in another order. To pass on what a third has observed would be quicker, and one liar
 * could speak for many.
 */
final class ObservationBroadcast {
    private static final double INTERVAL_MS = 1000;

    /** Receivers of one broadcast. */
    private static final int RECEIVERS = 8;

    /**
     * The same while a server was seen to fail: a hundred others hear of that in four seconds,
     * before it has faded.
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

    /** Sends if it is time and there is something to tell. */
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
        int receivers = tellsOfFailures(message) ? RECEIVERS_OF_FAILURES : RECEIVERS;
        for (int left = Math.min(receivers, peers.size()); left > 0; left--) {
            String receiver = next(peers);
            if (peers.contains(receiver)) {
                out.add(new CoordinationSession.Outgoing(receiver, message));
            }
        }
    }

    private static boolean tellsOfFailures(ClusterMessage.ObservationPart message) {
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
