package sprucehold.cluster.session;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import sprucehold.cluster.quota.QuotaMessage;

/**
 * A token bucket for messages; if there are too few tokens, the least important messages are
 * dropped.
 */
final class MessageBudget {
    private final double perSecond;
    private double tokens;
    private double refilledAtMs;
    private long dropped;

    /**
     * @param perSecond maximum number of messages per second, and the capacity of the bucket
     */
    MessageBudget(double perSecond) {
        this.perSecond = perSecond;
        this.tokens = perSecond;
    }

    void refill(double nowMs) {
        tokens = Math.min(perSecond, tokens + (nowMs - refilledAtMs) / 1000 * perSecond);
        refilledAtMs = nowMs;
    }

    /**
     * Returns the messages that may be sent now, the most important first, and drops the others.
     */
    List<CoordinationSession.Outgoing> admit(List<CoordinationSession.Outgoing> messages) {
        var sorted = new ArrayList<>(messages);
        sorted.sort(Comparator.comparingInt(outgoing -> rank(outgoing.message())));
        int admitted = (int) Math.min(sorted.size(), Math.floor(tokens));
        tokens -= admitted;
        dropped += sorted.size() - admitted;
        return List.copyOf(sorted.subList(0, admitted));
    }

    /**
     * Returns the rank of a message, 0 for the most important. Membership messages rank first, as
     * all other coordination depends on them. Messages about limits that may free units rank
     * second. Requests for units, counters and observations rank last.
     */
    private static int rank(ClusterMessage message) {
        if (message instanceof ClusterMessage.MembershipPart) {
            return 0;
        }
        return message instanceof ClusterMessage.QuotaPart quota && !requestsOnly(quota) ? 1 : 2;
    }

    private static boolean requestsOnly(ClusterMessage.QuotaPart quota) {
        return quota.messages().stream()
                .allMatch(each -> each.message() instanceof QuotaMessage.LeaseRequest);
    }

    /** Returns the number of messages dropped since the start. */
    long dropped() {
        return dropped;
    }
}
