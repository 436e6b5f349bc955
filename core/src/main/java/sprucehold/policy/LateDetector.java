package sprucehold.policy;

/** Notices attempts that are late, and what that says of their server, its zone and the fleet. */
final class LateDetector {
    /** A timer that is itself later than this says nothing of the server. */
    private static final double MAX_TIMER_DELAY_TICKS = 2;

    /** Below this estimate the fleet as a whole is slow; ejection would only load the others. */
    private static final double MIN_ESTIMATE_TO_BLAME_SERVER = 0.6;

    private final DecisionContext context;
    private final Timers timers;
    private final LatencyStatistics latencies;
    private final OverloadSignal overloadSignal;
    private final SuspectDetector suspects;
    private final CompletionEstimate estimate;
    private final LateParts lateParts;

    LateDetector(
            DecisionContext context,
            Timers timers,
            LatencyStatistics latencies,
            OverloadSignal overloadSignal,
            SuspectDetector suspects,
            CompletionEstimate estimate,
            LateParts lateParts) {
        this.context = context;
        this.timers = timers;
        this.latencies = latencies;
        this.overloadSignal = overloadSignal;
        this.suspects = suspects;
        this.estimate = estimate;
        this.lateParts = lateParts;
    }

    /** Watches an attempt that is sent now. */
    void watch(PartAttempt attempt) {
        double lateAfterMs = latencies.lateAfterMs(attempt.part().query().queryClass());
        watchUntil(context.nowMs() + lateAfterMs, attempt);
    }

    /** A timer that comes late puts it off by as much: answers may lie unread. */
    private void watchUntil(double dueMs, PartAttempt attempt) {
        timers.at(
                dueMs,
                () -> {
                    if (!attempt.isPending()) {
                        return;
                    }
                    double nowMs = context.nowMs();
                    double maxDelayMs = MAX_TIMER_DELAY_TICKS * context.deployment().tickMs();
                    if (nowMs - dueMs > maxDelayMs) {
                        watchUntil(2 * nowMs - dueMs, attempt);
                    } else {
                        onLate(attempt, nowMs);
                    }
                });
    }

    private void onLate(PartAttempt attempt, double nowMs) {
        ShardServerState server = attempt.server();
        attempt.markLate();
        overloadSignal.recordLate(attempt.part().query().queryClass(), nowMs - attempt.sentAtMs());
        suspects.onLate(server.zone());
        server.concurrencyLimit().onLate(nowMs);
        if (!server.answeredSince(attempt.sentAtMs())
                || estimate.value() >= MIN_ESTIMATE_TO_BLAME_SERVER) {
            server.onFailure(nowMs, false);
        }
        lateParts.add(attempt.part());
    }
}
