package sprucehold.cluster.membership;

import java.util.List;
import java.util.Random;

/** Pings members held dead: nobody probes them, so a healed partition would never be found. */
final class PartitionHealing {
    /** Time between two pings to a member held dead. */
    private static final double INTERVAL_MS = 5000;

    /** The same while some members have never been met. */
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

    /** Pings one if it is time. */
    void tick(double nowMs, List<FailureDetector.Outgoing> out) {
        if (nowMs - pingedAtMs >= (members.hasUnmet() ? unmetIntervalMs : INTERVAL_MS)) {
            pingedAtMs = nowMs;
            pingOne(nowMs, out);
        }
    }

    /** Forgets members dead for long, and pings one of the others held dead. */
    void pingOne(double nowMs, List<FailureDetector.Outgoing> out) {
        members.forgetInactive(nowMs);
        List<MemberUpdate> dead = members.dead();
        if (!dead.isEmpty()) {
            out.add(dissemination.ping(dead.get(random.nextInt(dead.size())).name()));
        }
    }
}
