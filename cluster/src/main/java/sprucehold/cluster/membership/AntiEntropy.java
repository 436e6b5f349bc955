package sprucehold.cluster.membership;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

/**
 * Repairs differences between member lists that gossip has not removed. Periodically sends the
 * digest of this member's list to a random member; where two digests differ, the members exchange
 * whole tables (anti-entropy with push and pull; Demers and others 1987).
 */
final class AntiEntropy {
    /** Time between two digest comparisons, in milliseconds. */
    private static final double COMPARE_MS = 10_000;

    /**
     * Time between two digest comparisons while the last one found a difference, in milliseconds.
     */
    private static final double COMPARE_AGAIN_MS = 2000;

    /**
     * Minimum time between two whole tables that this member sends, in milliseconds. A table of a
     * thousand members is 70 kB long.
     */
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

    /** Sends the digest to one random active member if the interval has passed. */
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

    /** Handles the digest of another member: sends the whole table if the digests differ. */
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
     * Sends the whole table, unless this member sent one less than {@link #MIN_TABLE_INTERVAL_MS}
     * ago. A table that is left out now may be sent later: if the lists still differ at the next
     * comparison of digests, this method is called again.
     */
    void sendTable(String to, double nowMs, List<FailureDetector.Outgoing> out) {
        differed = true;
        if (nowMs - tableSentAtMs >= MIN_TABLE_INTERVAL_MS) {
            tableSentAtMs = nowMs;
            out.add(
                    new FailureDetector.Outgoing(
                            to, new MemberMessage.MemberTable(true, members.sendableUpdates())));
        }
    }

    /**
     * Handles the table of another member. If the sender asked for a reply, sends it the updates
     * that its table lacks.
     */
    void receiveTable(
            String from, MemberMessage.MemberTable table, List<FailureDetector.Outgoing> out) {
        if (!table.replyWanted()) {
            return;
        }
        differed = true;
        Map<String, MemberUpdate> theirs = new HashMap<>();
        table.updates().forEach(update -> theirs.put(update.name(), update));
        List<MemberUpdate> lacking =
                members.sendableUpdates().stream()
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
