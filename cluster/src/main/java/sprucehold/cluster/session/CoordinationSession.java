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
 * are passed as a reading of the monotonic clock ({@code countedMs}) and one of the wall clock
 * ({@code wallMs}), both in milliseconds.
 */
public final class CoordinationSession {
    /** A message to another gatherer. */
    public record Outgoing(String to, ClusterMessage message) {}

    /**
     * Units of one shared limit at this gatherer.
     *
     * @param ownUnits units that are this gatherer's own
     * @param lent own units that are lent to others
     * @param borrowed units borrowed from others, used or not
     * @param used used units that count now
     * @param free units that may be used now
     */
    public record LimitStatus(int ownUnits, int lent, int borrowed, int used, int free) {}

    /**
     * State of one gatherer's session, for operators.
     *
     * @param members all members, this gatherer first
     * @param limits units of each shared limit, by the name of the limit
     * @param superseded whether another process of this gatherer's name has started later
     * @param isolated whether no other gatherer answers
     * @param localHealth from 0 (healthy) to 8
     * @param droppedMessages messages dropped since the start because the message budget was used
     *     up
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
     * @param generation taken from the wall clock at the start, in milliseconds
     * @param others names of possible other gatherers, with the site of each
     * @param seed seed of all random numbers
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

    /** Returns the interval at which {@link #tick} must be called, in milliseconds. */
    public double tickMs() {
        return membership.tickMs();
    }

    /** Advances the time and returns the messages to send. */
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

    /** Handles a message from another gatherer and returns the answers to it. */
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

    /** Accepts only counters and observations of the sender itself. */
    private void receiveObservations(
            double nowMs, String from, ClusterMessage.ObservationPart part) {
        part.counters().stream()
                .filter(counter -> counter.gatherer().equals(from))
                .forEach(counter -> counters.receive(nowMs, counter));
        part.observations().stream()
                .filter(observation -> observation.observer().equals(from))
                .forEach(observation -> evidence.receive(nowMs, observation));
    }

    /** Announces that this gatherer leaves. */
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
            // The other process of this name had the same own units. Its uses and leases up to this
            // moment are not known to this process.
            limits.beginEpoch(membership.members().get(0).generation());
        }
        wasSuperseded = membership.superseded();
    }

    /**
     * Opens a shared limit. A limit that was closed and still has lent or used units continues with
     * them.
     */
    public void openLimit(double countedMs, double wallMs, String limit, QuotaTerms terms) {
        read(countedMs, wallMs);
        limits.open(limit, terms);
    }

    /** Closes a shared limit: its units are no longer used or lent. */
    public void closeLimit(String limit) {
        limits.close(limit);
    }

    /**
     * Sets the number of units of a limit needed per window; see {@link LeaseExchange#setDemand}.
     * Has no effect if the limit isn't open.
     */
    public void setDemand(String limit, int units, int usefulUnits) {
        limits.setDemand(limit, units, usefulUnits);
    }

    /**
     * Returns the units of a limit that may be used now; 0 if it isn't open or must not be used.
     */
    public int freeUnits(double countedMs, double wallMs, String limit) {
        read(countedMs, wallMs);
        return membership.superseded() ? 0 : limits.free(limit);
    }

    /**
     * Uses units of a limit if they are free, and if this process has not found another process of
     * its name that started later.
     *
     * @return null if the units may not be used
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
     * Creates a permit for units that no other gatherer can use and that the caller has counted
     * itself.
     *
     * @param validMs validity of the permit, in milliseconds
     */
    public Permit permit(double countedMs, double wallMs, double validMs) {
        read(countedMs, wallMs);
        return new Permit(clock.atMostMs() + validMs);
    }

    /**
     * Whether a permit is still valid; must be checked immediately before the send that it permits.
     */
    public boolean isValid(double countedMs, double wallMs, Permit permit) {
        read(countedMs, wallMs);
        return permit.isValid(clock) && !membership.superseded();
    }

    /** Returns the units of one limit, or null if it isn't open. */
    public LimitStatus limitStatus(double countedMs, double wallMs, String limit) {
        read(countedMs, wallMs);
        return limits.status(limit);
    }

    /**
     * Whether another process of this name has started later; this process takes no part in shared
     * limits then.
     */
    public boolean superseded() {
        return membership.superseded();
    }

    /** Whether no other gatherer answers. */
    public boolean isolated() {
        return membership.isolated();
    }

    /** Returns the changes of state and generation of other members since the last call. */
    public List<MemberUpdate> takeChanges() {
        return membership.takeChanges();
    }

    /** Returns the number of other gatherers considered alive. */
    public int aliveCount() {
        return alive.size();
    }

    /** Adds units that this gatherer has sent to its counter of a key. */
    public void recordSent(double countedMs, double wallMs, String key, long units) {
        counters.add(read(countedMs, wallMs), key, units);
    }

    /** Returns the units per second that other gatherers send of a key. */
    public double othersPerSecond(double countedMs, double wallMs, String key) {
        return counters.othersPerSecond(read(countedMs, wallMs), key);
    }

    /** Records whether an attempt of this gatherer completed. */
    public void recordAttempt(
            double countedMs,
            double wallMs,
            String server,
            String serverSite,
            double startedAtMs,
            boolean completed) {
        evidence.recordAttempt(read(countedMs, wallMs), server, serverSite, startedAtMs, completed);
    }

    /** Assesses a server by the observations of other gatherers. */
    public FailureAssessment assess(
            double countedMs, double wallMs, String server, double startedAtMs) {
        return evidence.assess(read(countedMs, wallMs), server, startedAtMs);
    }

    /** Returns the state of this session, for operators. */
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
