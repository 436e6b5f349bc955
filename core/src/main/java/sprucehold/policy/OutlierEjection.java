package sprucehold.policy;

/**
 * Consecutive failures of one shard server, and its ejection: while ejected it is sent nothing. The
 * time grows with each ejection that brings no success, as in Envoy's outlier detection.
 */
final class OutlierEjection {
    /** One failure may be an accident, two a pause. */
    private static final int FAILURES_TO_EJECT = 3;

    private static final double EJECTION_BASE_MS = 1000;
    private static final double EJECTION_MAX_MS = 4000;

    /** For each consecutive failure; about as long as a quiet gatherer takes to meet it again. */
    private static final double SUSPECT_PER_FAILURE_MS = 5000;

    private static final int SUSPECT_MAX_FAILURES = 4;

    private int consecutiveFailures;
    private double lastFailureAtMs;
    private double ejectedUntilMs;
    private double ejectionMs;

    /**
     * Counts a failure.
     *
     * @param unreachable whether no connection came up: a server that is down or full is ejected at
     *     once
     * @return whether the server is ejected by this failure
     */
    boolean onFailure(double nowMs, boolean unreachable) {
        consecutiveFailures++;
        lastFailureAtMs = nowMs;
        boolean enough = consecutiveFailures >= FAILURES_TO_EJECT || unreachable;
        if (!enough || isEjected(nowMs)) {
            return false;
        }
        ejectionMs = Math.min(EJECTION_MAX_MS, Math.max(EJECTION_BASE_MS, 2 * ejectionMs));
        ejectedUntilMs = nowMs + ejectionMs;
        return true;
    }

    void onCompletedInTime() {
        consecutiveFailures = 0;
        ejectionMs = 0;
    }

    void onServerStarted() {
        consecutiveFailures = 0;
        ejectedUntilMs = 0;
        ejectionMs = 0;
    }

    /** Failures and late attempts since an attempt last completed in time. */
    int consecutiveFailures() {
        return consecutiveFailures;
    }

    /** When it last failed, in milliseconds; 0 if never. */
    double lastFailureAtMs() {
        return lastFailureAtMs;
    }

    boolean isEjected(double nowMs) {
        return nowMs < ejectedUntilMs;
    }

    /** Whether it has failed lately and completed nothing in time since. */
    boolean failedLately(double nowMs) {
        int failures = Math.min(SUSPECT_MAX_FAILURES, consecutiveFailures);
        return consecutiveFailures > 0
                && nowMs < lastFailureAtMs + SUSPECT_PER_FAILURE_MS * failures;
    }
}
