package sprucehold.cluster.membership;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

/**
 * Repairs differences that gossip left: members compare digests with one drawn at random, and
 * exchange whole tables where they differ (anti-entropy, push and pull; Demers and others 1987).
 */
final class AntiEntropy {
    /** Time between two comparisons. */
    private static final double COMPARE_MS = 10_000;

    /** The same while the last one found a difference. */
    private static final double COMPARE_AGAIN_MS = 2000;

    /** Least time between two whole tables: of a thousand members one is 70 kB. */
    private static final double MIN_TABLE_INTERVAL_MS = 500;

    private final MemberList members;
    private final Dissemination dissemination;
    private final Random random;
    private double comparedAtMs = Double.NEGATIVE_INFINITY;
    private double tableSentAtMs = Double.NEGATIVE_INFINITY;
    private boolean differed = true;

    AntiEntropy(MemberList members, Dissemination dissemination, Random random) {
        this.members = members;
        this.dissemination = dissemination;
        this.random = random;
    }

    /** Compares with one other member if it is time. */
    void tick(double nowMs, List<FailureDetector.Outgoing> out) {
        double intervalMs = differed ? COMPARE_AGAIN_MS : COMPARE_MS;
        if (nowMs - comparedAtMs < intervalMs || members.active().isEmpty()) {
            return;
        }
        comparedAtMs = nowMs;
        differed = false;
        List<String> active = List.copyOf(members.active());
        String peer = active.get(random.nextInt(active.size()));
        out.add(
                new FailureDetector.Outgoing(
                        peer,
                        new MemberMessage.CompareDigest(
                                members.digest(), dissemination.updatesFor(peer))));
    }

    /** Another member sent its digest. */
    void compare(
            String from,
            MemberMessage.CompareDigest message,
            double nowMs,
            List<FailureDetector.Outgoing> out) {
        if (message.digest() != members.digest()) {
            sendTable(from, nowMs, out);
        }
    }

    /**
     * Sends the whole table, unless one has left just now: a member that holds something else still
     * does when it compares again.
     */
    void sendTable(String to, double nowMs, List<FailureDetector.Outgoing> out) {
        differed = true;
        if (nowMs - tableSentAtMs >= MIN_TABLE_INTERVAL_MS) {
            tableSentAtMs = nowMs;
            out.add(
                    new FailureDetector.Outgoing(
                            to, new MemberMessage.MemberTable(true, members.tellable())));
        }
    }

    /** Another member sent its table; what it lacks is sent back if it wants that. */
    void receiveTable(
            String from, MemberMessage.MemberTable table, List<FailureDetector.Outgoing> out) {
        if (!table.replyWanted()) {
            return;
        }
        differed = true;
        Map<String, MemberUpdate> theirs = new HashMap<>();
        table.updates().forEach(update -> theirs.put(update.name(), update));
        List<MemberUpdate> lacking =
                members.tellable().stream()
                        .filter(update -> isNewer(update, theirs.get(update.name())))
                        .toList();
        if (!lacking.isEmpty()) {
            out.add(
                    new FailureDetector.Outgoing(
                            from, new MemberMessage.MemberTable(false, lacking)));
        }
    }

    private static boolean isNewer(MemberUpdate ours, MemberUpdate theirs) {
        return theirs == null || ours.supersedes(theirs);
    }
}
