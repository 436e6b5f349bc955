package sprucehold.cluster.membership;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.Consumer;

/**
 * SWIM's failure detection (Das, Gupta, Motivala 2002). Each period, one other member is pinged, in
 * randomised round robin. A member that doesn't answer is pinged indirectly through other members
 * before its probe counts as failed.
 */
final class FailureProbes {
    /**
     * Time after which an unanswered ping is followed by indirect probes, in milliseconds. A round
     * trip within an installation is shorter unless there is a fault.
     */
    private static final double DIRECT_TIMEOUT_MS = 300;

    /** Number of periods after which a probe made for another member is discarded. */
    private static final double FORWARDED_PERIODS = 3;

    private static final class Probe {
        final String target;
        final double sentAtMs;
        boolean indirectSent;

        Probe(String target, double sentAtMs) {
            this.target = target;
            this.sentAtMs = sentAtMs;
        }
    }

    /**
     * An indirect probe made for another member, with the sequence number of that member's request.
     */
    private record Forwarded(String requester, long sequenceNumber, double sentAtMs) {}

    private final double periodMs;
    private final int indirectProbes;
    private final MemberList members;
    private final Dissemination dissemination;
    private final LocalHealth health;
    private final Random random;
    private final Map<Long, Probe> pending = new LinkedHashMap<>();
    private final Map<Long, Forwarded> forwarded = new LinkedHashMap<>();
    private final Deque<String> round = new ArrayDeque<>();

    /**
     * @param periodMs SWIM's protocol period, in milliseconds
     * @param indirectProbes SWIM's k: number of members asked to probe a member that doesn't answer
     */
    FailureProbes(
            double periodMs,
            int indirectProbes,
            MemberList members,
            Dissemination dissemination,
            LocalHealth health,
            Random random) {
        this.periodMs = periodMs;
        this.indirectProbes = indirectProbes;
        this.members = members;
        this.dissemination = dissemination;
        this.health = health;
        this.random = random;
    }

    /** Discards the pending probes, as those sent before this process was paused prove nothing. */
    void clear() {
        pending.clear();
    }

    /**
     * Probes the next member of the round.
     *
     * @return false if no other member is active
     */
    boolean probeNext(double nowMs, List<FailureDetector.Outgoing> out) {
        while (!round.isEmpty() && !members.isActive(round.peek())) {
            round.poll();
        }
        if (round.isEmpty()) {
            List<String> next = new ArrayList<>(members.active());
            Collections.shuffle(next, random);
            round.addAll(next);
        }
        String target = round.poll();
        if (target == null) {
            return false;
        }
        long sequenceNumber = dissemination.nextSequenceNumber();
        pending.put(sequenceNumber, new Probe(target, nowMs));
        out.add(dissemination.ping(target, sequenceNumber));
        return true;
    }

    /**
     * Checks the pending probes: sends indirect probes for those past the direct timeout, and
     * reports those past the period as failed.
     *
     * @param failed receives the name of each member whose probe has failed
     */
    void checkPending(double nowMs, List<FailureDetector.Outgoing> out, Consumer<String> failed) {
        for (Map.Entry<Long, Probe> entry : List.copyOf(pending.entrySet())) {
            Probe probe = entry.getValue();
            double ageMs = nowMs - probe.sentAtMs;
            if (!probe.indirectSent && ageMs >= health.stretched(DIRECT_TIMEOUT_MS)) {
                probe.indirectSent = true;
                requestIndirect(entry.getKey(), probe.target, out);
            }
            if (ageMs >= health.stretched(periodMs)) {
                pending.remove(entry.getKey());
                health.probeFailed();
                failed.accept(probe.target);
            }
        }
        forwarded.values().removeIf(probe -> nowMs - probe.sentAtMs > FORWARDED_PERIODS * periodMs);
    }

    private void requestIndirect(
            long sequenceNumber, String target, List<FailureDetector.Outgoing> out) {
        List<String> helpers = new ArrayList<>(members.active());
        helpers.remove(target);
        Collections.shuffle(helpers, random);
        for (String helper : helpers.subList(0, Math.min(indirectProbes, helpers.size()))) {
            out.add(
                    new FailureDetector.Outgoing(
                            helper,
                            new MemberMessage.PingRequest(
                                    sequenceNumber, target, dissemination.updatesFor(helper))));
        }
    }

    /** Probes the target of a request on behalf of the requester. */
    void probeFor(
            String requester,
            MemberMessage.PingRequest request,
            double nowMs,
            List<FailureDetector.Outgoing> out) {
        long sequenceNumber = dissemination.nextSequenceNumber();
        forwarded.put(sequenceNumber, new Forwarded(requester, request.sequenceNumber(), nowMs));
        out.add(dissemination.ping(request.target(), sequenceNumber));
    }

    /**
     * Handles the ack of a probe, either this member's own or one made for another member. In the
     * second case, sends an ack to the requester.
     */
    void answered(long sequenceNumber, List<FailureDetector.Outgoing> out) {
        if (pending.remove(sequenceNumber) != null) {
            health.probeAnswered();
        }
        Forwarded probe = forwarded.remove(sequenceNumber);
        if (probe != null) {
            out.add(dissemination.ack(probe.requester, probe.sequenceNumber));
        }
    }
}
