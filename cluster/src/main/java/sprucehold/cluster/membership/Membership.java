package sprucehold.cluster.membership;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

/**
 * Cluster membership by SWIM with suspicion (Das, Gupta, Motivala 2002) and Lifeguard's additions
 * (Dadgar, Phillips, Currey 2017). {@link FailureProbes} finds members that don't answer. {@link
 * Suspicions} gives them time to refute the suspicion. {@link LocalHealth} makes a gatherer whose
 * own probes fail slower to suspect others. {@link Dissemination} spreads updates on probes, and
 * {@link AntiEntropy} repairs differences that gossip left. {@link MemberList} stores the result.
 */
public final class Membership implements FailureDetector {
    /**
     * SWIM's protocol period, in milliseconds: one probe is sent per period. Half a second to a
     * second is usual, and the term of a lease is twice that ({@code
     * AllowanceSettings.LEASE_TERM_MS}).
     */
    public static final double PERIOD_MS = 1000;

    /** Ticks per period; the resolution of the timeouts within a period. */
    private static final int TICKS_PER_PERIOD = 5;

    /** SWIM's k: number of members that probe a member that doesn't answer. */
    private static final int INDIRECT_PROBES = 3;

    private final Random random;
    private final MemberList members;
    private final Dissemination dissemination;
    private final LocalHealth health = new LocalHealth();
    private final Suspicions suspicions;
    private final FailureProbes probes;
    private final AntiEntropy antiEntropy;
    private final PartitionHealing partitionHealing;
    private final List<MemberUpdate> changes = new ArrayList<>();
    private double nowMs;
    private double tickedAtMs = Double.NaN;
    private double probedAtMs = Double.NEGATIVE_INFINITY;

    /**
     * @param generation taken from the wall clock at the start, so that it is later than that of
     *     any earlier process under this name. If it is not, this class detects that and corrects
     *     it
     * @param seeds names of possible members, with the site of each
     */
    public Membership(
            String name, String site, long generation, Map<String, String> seeds, Random random) {
        this(name, site, generation, seeds, random, true);
    }

    /**
     * @param withSuspicion false to consider a member dead at once if it doesn't answer, for
     *     comparisons
     */
    public Membership(
            String name,
            String site,
            long generation,
            Map<String, String> seeds,
            Random random,
            boolean withSuspicion) {
        this.random = random;
        this.members =
                new MemberList(
                        new MemberUpdate(name, site, generation, 0, MemberUpdate.State.ALIVE));
        seeds.forEach(
                (seed, siteOfSeed) -> {
                    if (!seed.equals(name)) {
                        members.put(
                                new MemberUpdate(seed, siteOfSeed, 0, 0, MemberUpdate.State.DEAD),
                                0);
                    }
                });
        this.dissemination = new Dissemination(members);
        this.suspicions = new Suspicions(withSuspicion, PERIOD_MS);
        this.probes =
                new FailureProbes(
                        PERIOD_MS, INDIRECT_PROBES, members, dissemination, health, random);
        this.antiEntropy = new AntiEntropy(members, dissemination, random);
        this.partitionHealing = new PartitionHealing(PERIOD_MS, members, dissemination, random);
        dissemination.spread(members.self());
    }

    @Override
    public double tickMs() {
        return PERIOD_MS / TICKS_PER_PERIOD;
    }

    @Override
    public Set<String> alive() {
        return members.active();
    }

    /** Returns the latest update about each member, this one first. */
    public List<MemberUpdate> members() {
        return members.all();
    }

    /** Returns the changes of state and generation of other members since the last call. */
    public List<MemberUpdate> takeChanges() {
        List<MemberUpdate> since = List.copyOf(changes);
        changes.clear();
        return since;
    }

    /**
     * Whether another process claims this name with a later generation. In that case, units of
     * shared limits must not be used.
     */
    public boolean superseded() {
        return members.isSuperseded();
    }

    /** Returns Lifeguard's local health score, from 0 (healthy) to 8. */
    public int localHealth() {
        return health.score();
    }

    /**
     * Whether this member considers itself cut off from the others. While it does, it suspects no
     * one.
     */
    public boolean isolated() {
        return health.isIsolated();
    }

    /** Announces that this member leaves. The returned messages are the last that it sends. */
    public List<Outgoing> leave() {
        setSelf(members.self().withState(MemberUpdate.State.LEFT));
        List<String> receivers = new ArrayList<>(alive());
        Collections.shuffle(receivers, random);
        return receivers.stream().limit(INDIRECT_PROBES).map(dissemination::ping).toList();
    }

    private void setSelf(MemberUpdate update) {
        members.setSelf(update);
        dissemination.spread(update);
    }

    @Override
    public List<Outgoing> tick(double now) {
        nowMs = now;
        compensateForPause(nowMs - tickedAtMs);
        tickedAtMs = nowMs;
        var out = new ArrayList<Outgoing>();
        probes.checkPending(nowMs, out, this::suspect);
        checkSuspicions(out);
        if (nowMs - probedAtMs >= health.stretched(PERIOD_MS)) {
            probedAtMs = nowMs;
            if (!probes.probeNext(nowMs, out)) {
                partitionHealing.pingOne(nowMs, out);
            }
        }
        antiEntropy.tick(nowMs, out);
        partitionHealing.tick(nowMs, out);
        return out;
    }

    /**
     * Handles a pause of this process and isolation. After a pause of more than a period, this
     * member can't judge by its pending probes. It discards them and sets its local health score to
     * the worst value before it probes again. Time in which it was paused or isolated doesn't count
     * against suspected members.
     */
    private void compensateForPause(double sinceLastTickMs) {
        if (sinceLastTickMs > PERIOD_MS + tickMs()) {
            probes.clear();
            health.wasPaused();
            suspicions.postpone(sinceLastTickMs);
        } else if (isolated()) {
            suspicions.postpone(sinceLastTickMs);
        }
    }

    private void suspect(String name) {
        MemberUpdate update = members.get(name);
        if (update != null && update.state().isActive() && !isolated()) {
            apply(update.withState(MemberUpdate.State.SUSPECT), members.self().name());
        }
    }

    private void checkSuspicions(List<Outgoing> out) {
        for (String name : suspicions.names()) {
            double leftMs = suspicions.leftMs(name, members.active().size(), nowMs);
            if (leftMs <= 0) {
                apply(members.get(name).withState(MemberUpdate.State.DEAD), members.self().name());
            } else if (leftMs <= PERIOD_MS && suspicions.markPinged(name)) {
                // This member may have missed the refutation. A ping to a suspected member carries
                // the suspicion, and its ack carries the refutation.
                out.add(dissemination.ping(name));
            }
        }
    }

    @Override
    public List<Outgoing> receive(double now, String from, MemberMessage message) {
        nowMs = now;
        MemberUpdate before = members.get(from);
        message.updates().forEach(update -> apply(update, from));
        var out = new ArrayList<Outgoing>();
        answer(from, message, out);
        if (hasReturned(before, members.get(from))) {
            antiEntropy.sendTable(from, nowMs, out);
        }
        return out;
    }

    private void answer(String from, MemberMessage message, List<Outgoing> out) {
        boolean superseded = members.isSuperseded();
        if (message instanceof MemberMessage.Ping ping) {
            // A superseded member goes on sending pings, to find out when its name is free, but
            // doesn't answer any.
            if (!superseded && members.self().state() != MemberUpdate.State.LEFT) {
                out.add(dissemination.ack(from, ping.sequenceNumber()));
            }
        } else if (message instanceof MemberMessage.Ack ack) {
            probes.answered(ack.sequenceNumber(), out);
        } else if (message instanceof MemberMessage.PingRequest request) {
            if (!superseded) {
                probes.probeFor(from, request, nowMs, out);
            }
        } else if (message instanceof MemberMessage.CompareDigest compare) {
            antiEntropy.compare(from, compare, nowMs, out);
        } else if (message instanceof MemberMessage.MemberTable table) {
            antiEntropy.receiveTable(from, table, out);
        }
    }

    /**
     * Whether a member has returned from the other side of a partition, where its list may have
     * changed much, or has restarted with an empty list.
     */
    private static boolean hasReturned(MemberUpdate before, MemberUpdate after) {
        return after != null
                && after.state().isActive()
                && (before == null
                        || !before.state().isActive()
                        || before.generation() != after.generation());
    }

    private void apply(MemberUpdate update, String from) {
        if (members.isSelf(update.name())) {
            applyToSelf(update);
            return;
        }
        MemberUpdate before = members.get(update.name());
        if (before != null && !update.supersedes(before)) {
            if (update.equals(before)) {
                suspicions.confirm(update.name(), from);
            }
            return;
        }
        members.put(update, nowMs);
        if (update.state() == MemberUpdate.State.SUSPECT) {
            suspicions.begin(update.name(), from, nowMs);
        } else {
            suspicions.end(update.name());
        }
        if (before == null
                || before.state() != update.state()
                || before.generation() != update.generation()) {
            changes.add(update);
        }
        dissemination.spread(update);
    }

    private void applyToSelf(MemberUpdate update) {
        MemberUpdate self = members.self();
        if (self.state() == MemberUpdate.State.LEFT) {
            return;
        }
        if (update.generation() > self.generation()) {
            applyLaterGeneration(update);
        } else if (update.generation() == self.generation()
                && update.state() != MemberUpdate.State.ALIVE
                && !self.supersedes(update)) {
            setSelf(self.refuted(update.incarnation()));
            health.wasSuspected();
        }
    }

    private void applyLaterGeneration(MemberUpdate update) {
        if (update.state().isActive()) {
            members.setSuperseded(true);
            return;
        }
        // Either the wall clock was set back before this start, or the other of two processes that
        // claimed this name has ended.
        members.setSuperseded(false);
        MemberUpdate self = members.self();
        setSelf(
                new MemberUpdate(
                        self.name(),
                        self.site(),
                        update.generation() + 1,
                        0,
                        MemberUpdate.State.ALIVE));
    }
}
