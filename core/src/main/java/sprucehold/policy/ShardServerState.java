package sprucehold.policy;

import java.util.ArrayList;
import java.util.List;
import sprucehold.decision.Endpoint;

/** What this gatherer knows of one shard server. */
final class ShardServerState {
    private final String id;
    private final List<PartAttempt> pendingAttempts = new ArrayList<>();
    private final OutlierEjection ejection = new OutlierEjection();
    private final ConcurrencyLimit concurrencyLimit = new ConcurrencyLimit();
    private final SlowStartWindow slowStartWindow = new SlowStartWindow();
    private int replicaGroup;
    private String zone;
    private double startedAtMs;
    private boolean running;
    private double lastAnswerAtMs = Double.NEGATIVE_INFINITY;
    private double latestAnsweredSendAtMs = Double.NEGATIVE_INFINITY;

    ShardServerState(String id) {
        this.id = id;
    }

    /** Takes over what an endpoint update says. */
    void update(Endpoint endpoint) {
        replicaGroup = endpoint.replicaGroup();
        zone = endpoint.zone();
        running = endpoint.state() == Endpoint.State.RUNNING;
    }

    /** Forgets what was known of the process that ran before. */
    void onStarted(double startedAtMs, boolean warmingUp) {
        this.startedAtMs = startedAtMs;
        ejection.onServerStarted();
        concurrencyLimit.onServerStarted(warmingUp);
    }

    void stop() {
        running = false;
    }

    void onFailure(double nowMs, boolean unreachable) {
        if (ejection.onFailure(nowMs, unreachable)) {
            concurrencyLimit.reduceToMinimum();
        }
    }

    void onAnswer(PartAttempt attempt, double nowMs) {
        lastAnswerAtMs = nowMs;
        latestAnsweredSendAtMs = Math.max(latestAnsweredSendAtMs, attempt.sentAtMs());
    }

    void onCompletedInTime(double nowMs, boolean quick) {
        ejection.onCompletedInTime();
        concurrencyLimit.onCompletedInTime(nowMs, quick, pendingAttempts.size());
    }

    String id() {
        return id;
    }

    int replicaGroup() {
        return replicaGroup;
    }

    String zone() {
        return zone;
    }

    /** When it started, in milliseconds; 0 if long ago. */
    double startedAtMs() {
        return startedAtMs;
    }

    /** Whether it may be sent to: it is neither draining nor gone. */
    boolean isRunning() {
        return running;
    }

    /** This gatherer's attempts that are pending there. */
    List<PartAttempt> pendingAttempts() {
        return pendingAttempts;
    }

    OutlierEjection ejection() {
        return ejection;
    }

    ConcurrencyLimit concurrencyLimit() {
        return concurrencyLimit;
    }

    SlowStartWindow slowStartWindow() {
        return slowStartWindow;
    }

    boolean answeredSince(double timeMs) {
        return lastAnswerAtMs >= timeMs;
    }

    /** Whether it has answered an attempt that was sent after a time. */
    boolean answeredAttemptSentAfter(double timeMs) {
        return latestAnsweredSendAtMs > timeMs;
    }

    /** When it last answered or failed, in milliseconds. */
    double lastContactAtMs() {
        return Math.max(lastAnswerAtMs, ejection.lastFailureAtMs());
    }

    /** Attempts that are pending there for other queries. */
    long pendingOfOthers(ScheduledQuery query) {
        return pendingAttempts.stream().filter(attempt -> attempt.part().query() != query).count();
    }
}
