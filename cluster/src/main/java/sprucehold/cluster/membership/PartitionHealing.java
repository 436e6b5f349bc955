package sprucehold.cluster.membership;

import java.util.List;
import java.util.Random;

/**
 * Pings members considered dead: failure detection doesn't probe them, so that without these pings
 * a healed partition would never be noticed.
 */
final class PartitionHealing {
    /** Time between two pings to members considered dead, in milliseconds. */
    private static final double INTERVAL_MS = 5000;

    /**
     * Time between two pings while some members are known only by a configured name, in
     * milliseconds.
     */
    private final double unmetIntervalMs;

    private final MemberList members;
    private final Dissemination dissemination;
    private final Random random;
    private double pingedAtMs;

    PartitionHealing(
            double unmetIntervalMs,
            MemberList members,
            Dissemination dissemination,
            Random random) {
        this.unmetIntervalMs = unmetIntervalMs;
        this.members = members;
        this.dissemination = dissemination;
        this.random = random;
    }

    /** Pings one member considered dead if the interval has passed. */
    void tick(double nowMs, List<FailureDetector.Outgoing> out) {
        if (nowMs - pingedAtMs >= (members.hasUnmet() ? unmetIntervalMs : INTERVAL_MS)) {
            pingedAtMs = nowMs;
            pingOne(nowMs, out);
        }
    }

    /**
     * Removes members that have been inactive for long, and pings a random one of the others
     * considered dead.
     */
    void pingOne(double nowMs, List<FailureDetector.Outgoing> out) {
        members.forgetInactive(nowMs);
        List<MemberUpdate> dead = members.dead();
        if (!dead.isEmpty()) {
            out.add(dissemination.ping(dead.get(random.nextInt(dead.size())).name()));
        }
    }
}
