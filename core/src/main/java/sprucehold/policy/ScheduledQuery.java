package sprucehold.policy;

import java.util.ArrayList;
import java.util.List;
import sprucehold.decision.Event;
import sprucehold.decision.QueryClass;
import sprucehold.decision.Tenant;

/** An open query, with the parts and rounds of its current step. */
final class ScheduledQuery {
    /** Slack of sums of weights, which need not be exact. */
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
     * @param endsAtMs when it must have its final answer
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

    /** Forgets the parts and rounds of the first step. */
    void beginSecondStep() {
        parts = new ArrayList<>();
        rounds = new ArrayList<>();
    }

    void markSecondStep() {
        secondStep = true;
    }

    void restrict(List<QueryClass> changed) {
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

    /** Whose query it is, or null. */
    Tenant tenant() {
        return received.tenant();
    }

    /** Its class as it was when the query was received, made stricter by changes since. */
    QueryClass queryClass() {
        return queryClass;
    }

    double receivedAtMs() {
        return receivedAtMs;
    }

    /** When it must have its final answer, in milliseconds. */
    double endsAtMs() {
        return endsAtMs;
    }

    /** When its latency objective is over, in milliseconds. */
    double objectiveAtMs() {
        return receivedAtMs + queryClass.latencyObjectiveMs();
    }

    List<ScheduledPart> parts() {
        return parts;
    }

    Round lastRound() {
        return rounds.get(rounds.size() - 1);
    }

    /** The index into each shard's replicas that its parts go to. */
    int position() {
        return position;
    }

    /** Whether it lies beyond its tenant's quota. */
    boolean isOverQuota() {
        return overQuota;
    }

    /** Whether its admission was tried, and its tenant's quota charged. */
    boolean isAdmissionTried() {
        return admissionTried;
    }

    boolean isAdmitted() {
        return admitted;
    }

    boolean isSecondStep() {
        return secondStep;
    }

    /** Whether it has its final answer. */
    boolean isOver() {
        return over;
    }

    /** How many parts make the answer complete, taking them as equal in weight. */
    int neededParts() {
        return secondStep
                ? parts.size()
                : (int)
                        Math.ceil(
                                queryClass.completeCoverage() * parts.size() - COVERAGE_TOLERANCE);
    }

    /** The coverage that makes the answer complete. */
    double completeCoverage() {
        return secondStep ? 1 : queryClass.completeCoverage();
    }

    /** The coverage below which no answer may be given. */
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

    /** What the query is worth for each part it needs. */
    double priorityPerPart(double overQuotaPriority) {
        double priority = queryClass.priorityWeight() * (overQuota ? overQuotaPriority : 1);
        return priority / Math.max(1, neededParts());
    }
}
