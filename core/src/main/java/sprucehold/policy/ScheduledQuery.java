package sprucehold.policy;

import java.util.ArrayList;
import java.util.List;
import sprucehold.decision.Event;
import sprucehold.decision.QueryClass;
import sprucehold.decision.Tenant;

/** An open query, with the parts and rounds of its current step. */
final class ScheduledQuery {
    /** Tolerance for sums of weights, which may be inexact. */
    static final double COVERAGE_TOLERANCE = 1e-6;

    private final Event.QueryReceived received;
    private final double receivedAtMs;
    private final double endsAtMs;
    private QueryClass queryClass;
    private List<ScheduledPart> parts = new ArrayList<>();
    private List<Round> rounds = new ArrayList<>();
    private int position;
    private boolean overQuota;
    private boolean admissionTried;
    private boolean admitted;
    private boolean secondStep;
    private boolean over;

    /**
     * Opens a query.
     *
     * @param endsAtMs time by which the query must have its final answer, in milliseconds
     */
    ScheduledQuery(Event.QueryReceived received, double nowMs, double endsAtMs) {
        this.received = received;
        this.queryClass = received.queryClass();
        this.receivedAtMs = nowMs;
        this.endsAtMs = endsAtMs;
    }

    void add(ScheduledPart part) {
        parts.add(part);
    }

    void add(Round round) {
        rounds.add(round);
    }

    /** Drops the parts and rounds of the first step. */
    void beginSecondStep() {
        parts = new ArrayList<>();
        rounds = new ArrayList<>();
    }

    void markSecondStep() {
        secondStep = true;
    }

    void restrictClass(List<QueryClass> changed) {
        queryClass = queryClass.restrictedBy(changed);
    }

    void setPosition(int position) {
        this.position = position;
    }

    void markAdmissionTried(boolean overQuota) {
        this.admissionTried = true;
        this.overQuota = overQuota;
    }

    void markAdmitted() {
        admitted = true;
    }

    void markOver() {
        over = true;
    }

    String id() {
        return received.id();
    }

    long number() {
        return received.number();
    }

    /** Returns the tenant of the query, or null. */
    Tenant tenant() {
        return received.tenant();
    }

    /**
     * Returns the query class at the time the query was received, made stricter by later changes of
     * the class.
     */
    QueryClass queryClass() {
        return queryClass;
    }

    double receivedAtMs() {
        return receivedAtMs;
    }

    /** Returns the time by which the query must have its final answer, in milliseconds. */
    double endsAtMs() {
        return endsAtMs;
    }

    /** Returns the time at which the latency objective ends, in milliseconds. */
    double objectiveAtMs() {
        return receivedAtMs + queryClass.latencyObjectiveMs();
    }

    List<ScheduledPart> parts() {
        return parts;
    }

    Round lastRound() {
        return rounds.get(rounds.size() - 1);
    }

    /**
     * Returns the position of the query: the index, into the replicas of each shard, of the replica
     * that its parts are sent to by default.
     */
    int position() {
        return position;
    }

    /** Returns whether the query exceeds the quota of its tenant. */
    boolean isOverQuota() {
        return overQuota;
    }

    /**
     * Returns whether the query's admission was checked at least once. The first check charges the
     * tenant's quota.
     */
    boolean isAdmissionTried() {
        return admissionTried;
    }

    boolean isAdmitted() {
        return admitted;
    }

    boolean isSecondStep() {
        return secondStep;
    }

    /** Returns whether the query has its final answer, or its client has disconnected. */
    boolean isOver() {
        return over;
    }

    /**
     * Returns how many parts make the answer complete, on the assumption that all parts have equal
     * weight.
     */
    int neededParts() {
        return secondStep
                ? parts.size()
                : (int)
                        Math.ceil(
                                queryClass.completeCoverage() * parts.size() - COVERAGE_TOLERANCE);
    }

    /** Returns the coverage at which the answer is complete. */
    double completeCoverage() {
        return secondStep ? 1 : queryClass.completeCoverage();
    }

    /** Returns the coverage below which the query must not be answered. */
    double minimumCoverage() {
        return secondStep && queryClass.minimumCoverage() >= queryClass.completeCoverage()
                ? 1
                : queryClass.minimumCoverage();
    }

    int completedParts() {
        return (int) parts.stream().filter(ScheduledPart::isCompleted).count();
    }

    double coverage() {
        return parts.stream()
                .filter(ScheduledPart::isCompleted)
                .mapToDouble(ScheduledPart::weight)
                .sum();
    }

    List<ScheduledPart> unsentParts() {
        return parts.stream().filter(part -> part.round() == null).toList();
    }

    /** Returns the priority of the query, divided by the number of parts that it needs. */
    double priorityPerPart(double overQuotaPriority) {
        double priority = queryClass.priorityWeight() * (overQuota ? overQuotaPriority : 1);
        return priority / Math.max(1, neededParts());
    }
}
