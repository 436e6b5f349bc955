package sprucehold.policy;

import java.util.ArrayList;
import java.util.List;
import sprucehold.decision.Endpoint;

/** State of one shard server as observed by this gatherer. */
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

    /** Applies an endpoint update. */
    void update(Endpoint endpoint) {
        replicaGroup = endpoint.replicaGroup();
        zone = endpoint.zone();
        running = endpoint.state() == Endpoint.State.RUNNING;
    }

    /** Resets the state that was observed on the server's previous process. */
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

    /** Returns the start time of the server, in milliseconds; 0 if the server started long ago. */
    double startedAtMs() {
        return startedAtMs;
    }

    /**
     * Returns whether the server is neither draining nor gone, so that attempts may be sent to it.
     */
    boolean isRunning() {
        return running;
    }

    /** Returns this gatherer's attempts that are pending at the server. */
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

    /** Returns whether the server has answered an attempt that was sent after a given time. */
    boolean answeredAttemptSentAfter(double timeMs) {
        return latestAnsweredSendAtMs > timeMs;
    }

    /** Returns the time of the last answer or failure, in milliseconds. */
    double lastContactAtMs() {
        return Math.max(lastAnswerAtMs, ejection.lastFailureAtMs());
    }

    /** Returns the number of attempts that are pending at the server for other queries. */
    long pendingOfOthers(ScheduledQuery query) {
        return pendingAttempts.stream().filter(attempt -> attempt.part().query() != query).count();
    }
}
