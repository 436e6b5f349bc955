package sprucehold.policy;

/** Detects late attempts, and records them for their server, its zone and the fleet. */
final class LateDetector {
    /**
     * Maximum delay of a timer, in ticks. A longer delay means that the gatherer itself was
     * delayed. An attempt that is still pending then shows nothing about its server.
     */
    private static final double MAX_TIMER_DELAY_TICKS = 2;

    /**
     * Completion estimate below which the fleet as a whole is slow. A late attempt then counts as a
     * failure only if the server has answered nothing since the attempt was sent. Ejecting a server
     * that still answers would only add load to the other servers.
     */
    private static final double MIN_ESTIMATE_TO_COUNT_FAILURE = 0.6;

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

    /** Starts to monitor an attempt that is sent now. */
    void watch(PartAttempt attempt) {
        double lateAfterMs = latencies.lateAfterMs(attempt.part().query().queryClass());
        scheduleCheck(context.nowMs() + lateAfterMs, attempt);
    }

    /**
     * Sets a timer that marks the attempt as late. If the timer fires with more than the maximum
     * delay, the check is postponed by the same delay, because answers may not have been read yet.
     */
    private void scheduleCheck(double checkAtMs, PartAttempt attempt) {
        timers.schedule(
                checkAtMs,
                () -> {
                    if (!attempt.isPending()) {
                        return;
                    }
                    double nowMs = context.nowMs();
                    double maxDelayMs = MAX_TIMER_DELAY_TICKS * context.deployment().tickMs();
                    if (nowMs - checkAtMs > maxDelayMs) {
                        scheduleCheck(2 * nowMs - checkAtMs, attempt);
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
                || estimate.value() >= MIN_ESTIMATE_TO_COUNT_FAILURE) {
            server.onFailure(nowMs, false);
        }
        lateParts.add(attempt.part());
    }
}
