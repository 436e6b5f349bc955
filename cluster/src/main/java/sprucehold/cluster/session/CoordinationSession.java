package sprucehold.cluster.session;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import sprucehold.cluster.counter.CounterTable;
import sprucehold.cluster.evidence.EvidenceTable;
import sprucehold.cluster.evidence.FailureAssessment;
import sprucehold.cluster.membership.FailureDetector;
import sprucehold.cluster.membership.MemberUpdate;
import sprucehold.cluster.membership.Membership;
import sprucehold.cluster.quota.LeaseExchange;
import sprucehold.cluster.quota.MonotonicLeaseClock;
import sprucehold.cluster.quota.Permit;
import sprucehold.cluster.quota.QuotaTerms;

/**
 * The state machine of one gatherer's coordination with the others: {@link Membership}, shared
 * limits ({@link SharedLimits}), counters and observations ({@link ObservationBroadcast}). Times
 * are a reading of the monotonic clock ({@code countedMs}) and one of the wall clock ({@code
 * wallMs}), in milliseconds.
 */
public final class CoordinationSession {
    /** A message to another gatherer. */
    public record Outgoing(String to, ClusterMessage message) {}

    /**
     * Units of one shared limit at this gatherer.
     *
     * @param ownUnits its own
     * @param lent of these
     * @param borrowed from others, used or not
     * @param used that count now
     * @param free that may be used now
     */
    public record LimitStatus(int ownUnits, int lent, int borrowed, int used, int free) {}

    /**
     * What one gatherer knows, for operators.
     *
     * @param members itself first
     * @param limits by name
     * @param superseded whether another process of its name has started later
     * @param isolated whether no other gatherer answers
     * @param localHealth from 0, healthy, to 8
     * @param droppedMessages since the start, as too many had left
     */
    public record Status(
            List<MemberUpdate> members,
            Map<String, LimitStatus> limits,
            boolean superseded,
            boolean isolated,
            int localHealth,
            long droppedMessages) {}

    private final MonotonicLeaseClock clock = new MonotonicLeaseClock();
    private final Membership membership;
    private final SharedLimits limits;
    private final CounterTable counters;
    private final EvidenceTable evidence;
    private final ObservationBroadcast broadcast;
    private final MessageBudget budget;
    private Set<String> alive = Set.of();
    private boolean wasSuperseded;
    private double limitsTickedAtMs = Double.NEGATIVE_INFINITY;

    /**
     * @param generation by the wall clock at the start, in milliseconds
     * @param others names that may be there, and the site of each
     * @param seed of all random numbers
     */
    public CoordinationSession(
            SessionSettings settings,
            String name,
            String site,
            long generation,
            Map<String, String> others,
            long seed,
            double countedMs,
            double wallMs) {
        var random = new Random(seed);
        clock.read(countedMs, wallMs);
        this.budget = new MessageBudget(settings.messagesPerSecond());
        this.membership =
                new Membership(name, site, generation, others, new Random(random.nextLong()));
        this.counters = new CounterTable(name, generation, settings.rateHalfLifeMs());
        this.evidence = new EvidenceTable(name, site);
        this.broadcast = new ObservationBroadcast(counters, evidence, random);
        this.limits = new SharedLimits(name, generation, clock, random);
        new TreeMap<>(settings.limits()).forEach(limits::open);
    }

    private double read(double countedMs, double wallMs) {
        clock.read(countedMs, wallMs);
        double nowMs = clock.atLeastMs();
        budget.refill(nowMs);
        return nowMs;
    }

    /** How often {@link #tick} is to be called, in milliseconds. */
    public double tickMs() {
        return membership.tickMs();
    }

    /** Lets time pass. */
    public List<Outgoing> tick(double countedMs, double wallMs) {
        double nowMs = read(countedMs, wallMs);
        var out = new ArrayList<Outgoing>();
        membershipChanged(membership.tick(nowMs), out);
        if (nowMs - limitsTickedAtMs >= LeaseExchange.TICK_MS && !membership.superseded()) {
            limitsTickedAtMs = nowMs;
            limits.tick(out);
        }
        broadcast.tick(nowMs, alive, out);
        return budget.admit(out);
    }

    /** Takes a message from another gatherer, and returns the answers to it. */
    public List<Outgoing> receive(
            double countedMs, double wallMs, String from, ClusterMessage message) {
        double nowMs = read(countedMs, wallMs);
        var out = new ArrayList<Outgoing>();
        if (message instanceof ClusterMessage.MembershipPart part) {
            membershipChanged(membership.receive(nowMs, from, part.message()), out);
        } else if (message instanceof ClusterMessage.QuotaPart quota) {
            if (!membership.superseded()) {
                limits.receive(from, quota, out);
            }
        } else if (message instanceof ClusterMessage.ObservationPart part) {
            receiveObservations(nowMs, from, part);
        }
        return budget.admit(out);
    }

    /** Each gatherer speaks for itself alone. */
    private void receiveObservations(
            double nowMs, String from, ClusterMessage.ObservationPart part) {
        part.counters().stream()
                .filter(counter -> counter.gatherer().equals(from))
                .forEach(counter -> counters.receive(nowMs, counter));
        part.observations().stream()
                .filter(observation -> observation.observer().equals(from))
                .forEach(observation -> evidence.receive(nowMs, observation));
    }

    /** Announces that it leaves. */
    public List<Outgoing> leave(double countedMs, double wallMs) {
        read(countedMs, wallMs);
        var out = new ArrayList<Outgoing>();
        membershipChanged(membership.leave(), out);
        return budget.admit(out);
    }

    private void membershipChanged(List<FailureDetector.Outgoing> messages, List<Outgoing> out) {
        for (FailureDetector.Outgoing each : messages) {
            out.add(new Outgoing(each.to(), new ClusterMessage.MembershipPart(each.message())));
        }
        Set<String> now = membership.alive();
        if (!now.equals(alive)) {
            alive = now;
            limits.setPeers(now);
            evidence.retainObservers(now);
        }
        if (wasSuperseded && !membership.superseded()) {
            // The other process of this name had the same own units, and what it used and lent
            // until just now isn't known here.
            limits.beginEpoch(membership.members().get(0).generation());
        }
        wasSuperseded = membership.superseded();
    }

    /**
     * Opens a shared limit. One that was closed a moment ago goes on as it was, with what is out of
     * it.
     */
    public void openLimit(double countedMs, double wallMs, String limit, QuotaTerms terms) {
        read(countedMs, wallMs);
        limits.open(limit, terms);
    }

    /** Closes a shared limit: nothing of it is used or lent any more. */
    public void closeLimit(String limit) {
        limits.close(limit);
    }

    /**
     * States how many units of a limit are wanted in a window; see {@link LeaseExchange#setDemand}.
     * Nothing where it isn't open.
     */
    public void setDemand(String limit, int units, int usefulUnits) {
        limits.setDemand(limit, units, usefulUnits);
    }

    /** Units of a limit that may be used now; 0 where it isn't open or mustn't be used. */
    public int freeUnits(double countedMs, double wallMs, String limit) {
        read(countedMs, wallMs);
        return membership.superseded() ? 0 : limits.free(limit);
    }

    /**
     * Uses units of a limit, if they are free and this process is the only one of its name as far
     * as it has heard.
     *
     * @return null if they may not be used
     * @throws IllegalArgumentException if no limit of that name is open
     */
    public Permit consume(double countedMs, double wallMs, String limit, int units) {
        read(countedMs, wallMs);
        if (!limits.isOpen(limit)) {
            throw new IllegalArgumentException(
                    "no shared limit is called "
                            + limit
                            + "; one of "
                            + limits.names()
                            + " was expected");
        }
        return membership.superseded() ? null : limits.consume(limit, units);
    }

    /**
     * A permit for units that nobody else can use and that this gatherer has counted itself.
     *
     * @param validMs for so long
     */
    public Permit permit(double countedMs, double wallMs, double validMs) {
        read(countedMs, wallMs);
        return new Permit(clock.atMostMs() + validMs);
    }

    /** Whether a permit still holds; to be asked right before what it is for is sent. */
    public boolean isValid(double countedMs, double wallMs, Permit permit) {
        read(countedMs, wallMs);
        return permit.isValid(clock) && !membership.superseded();
    }

    /** Units of one limit; null where it isn't open. */
    public LimitStatus limitStatus(double countedMs, double wallMs, String limit) {
        read(countedMs, wallMs);
        return limits.status(limit);
    }

    /** Whether another process of this name has started later; this one shares nothing then. */
    public boolean superseded() {
        return membership.superseded();
    }

    /** Whether no other gatherer answers. */
    public boolean isolated() {
        return membership.isolated();
    }

    /** What others have become since this was last asked. */
    public List<MemberUpdate> takeChanges() {
        return membership.takeChanges();
    }

    /** How many others are held to be there. */
    public int aliveCount() {
        return alive.size();
    }

    /** Counts what this gatherer has sent. */
    public void recordSent(double countedMs, double wallMs, String key, long units) {
        counters.add(read(countedMs, wallMs), key, units);
    }

    /** Units a second that others send of a key. */
    public double othersPerSecond(double countedMs, double wallMs, String key) {
        return counters.othersPerSecond(read(countedMs, wallMs), key);
    }

    /** Notes how an attempt of this gatherer's ended. */
    public void recordAttempt(
            double countedMs,
            double wallMs,
            String server,
            String serverSite,
            double startedAtMs,
            boolean completed) {
        evidence.recordAttempt(read(countedMs, wallMs), server, serverSite, startedAtMs, completed);
    }

    /** What others observed of a server. */
    public FailureAssessment assess(
            double countedMs, double wallMs, String server, double startedAtMs) {
        return evidence.assess(read(countedMs, wallMs), server, startedAtMs);
    }

    /** What it knows, for operators. */
    public Status status(double countedMs, double wallMs) {
        read(countedMs, wallMs);
        return new Status(
                membership.members(),
                limits.statuses(),
                membership.superseded(),
                membership.isolated(),
                membership.localHealth(),
                budget.dropped());
    }
}
