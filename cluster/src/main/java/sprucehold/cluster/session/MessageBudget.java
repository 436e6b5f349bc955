package sprucehold.cluster.session;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import sprucehold.cluster.quota.QuotaMessage;

/** A token bucket for messages; where it runs short, the least important are dropped. */
final class MessageBudget {
    private final double perSecond;
    private double tokens;
    private double refilledAtMs;
    private long dropped;

    /**
     * @param perSecond messages that may leave in a second, and the most that can be saved up
     */
    MessageBudget(double perSecond) {
        this.perSecond = perSecond;
        this.tokens = perSecond;
    }

    void refill(double nowMs) {
        tokens = Math.min(perSecond, tokens + (nowMs - refilledAtMs) / 1000 * perSecond);
        refilledAtMs = nowMs;
    }

    /** The messages that may leave now, the most important first; the others are dropped. */
    List<CoordinationSession.Outgoing> admit(List<CoordinationSession.Outgoing> messages) {
        var sorted = new ArrayList<>(messages);
        sorted.sort(Comparator.comparingInt(outgoing -> rank(outgoing.message())));
        int admitted = (int) Math.min(sorted.size(), Math.floor(tokens));
        tokens -= admitted;
        dropped += sorted.size() - admitted;
        return List.copyOf(sorted.subList(0, admitted));
    }

    /** Probes and their answers first, as all else rests on them; then what frees units. */
    private static int rank(ClusterMessage message) {
        if (message instanceof ClusterMessage.MembershipPart) {
            return 0;
        }
        return message instanceof ClusterMessage.QuotaPart quota && !asksOnly(quota) ? 1 : 2;
    }

    private static boolean asksOnly(ClusterMessage.QuotaPart quota) {
        return quota.messages().stream()
                .allMatch(each -> each.message() instanceof QuotaMessage.LeaseRequest);
    }

    /** Messages dropped since the start. */
    long dropped() {
        return dropped;
    }
}
