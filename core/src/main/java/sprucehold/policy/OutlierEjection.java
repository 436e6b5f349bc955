package sprucehold.policy;

/**
 * Counts consecutive failures of one shard server and ejects the server. No attempts are sent to an
 * ejected server unless all replicas of a shard are ejected or not running (see {@link
 * ReplicaSelector}). The ejection time grows with each ejection until an attempt completes in time,
 * as in Envoy's outlier detection.
 */
final class OutlierEjection {
    /**
     * Number of consecutive failures after which a server is ejected. One failure may be an
     * accident, and two may be caused by a pause of the server.
     */
    private static final int FAILURES_TO_EJECT = 3;

    private static final double EJECTION_BASE_MS = 1000;
    private static final double EJECTION_MAX_MS = 4000;

    /**
     * Time for which a server is suspect, in milliseconds per consecutive failure. It is about the
     * time until a gatherer with little traffic selects the same server again.
     */
    private static final double SUSPECT_PER_FAILURE_MS = 5000;

    private static final int SUSPECT_MAX_FAILURES = 4;

    private int consecutiveFailures;
    private double lastFailureAtMs;
    private double ejectedUntilMs;
    private double ejectionMs;

    /**
     * Counts a failure.
     *
     * @param unreachable whether no connection could be opened; such a server is down or full, and
     *     is ejected at once
     * @return whether this failure ejects the server
     */
    boolean onFailure(double nowMs, boolean unreachable) {
        consecutiveFailures++;
        lastFailureAtMs = nowMs;
        boolean shouldEject = consecutiveFailures >= FAILURES_TO_EJECT || unreachable;
        if (!shouldEject || isEjected(nowMs)) {
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

    /**
     * Returns the number of failures, including late attempts, since an attempt last completed in
     * time or the server started.
     */
    int consecutiveFailures() {
        return consecutiveFailures;
    }

    /** Returns the time of the last failure, in milliseconds; 0 if there was none. */
    double lastFailureAtMs() {
        return lastFailureAtMs;
    }

    boolean isEjected(double nowMs) {
        return nowMs < ejectedUntilMs;
    }

    /**
     * Returns whether the server has failed recently and has completed no attempt in time since.
     */
    boolean failedRecently(double nowMs) {
        int failures = Math.min(SUSPECT_MAX_FAILURES, consecutiveFailures);
        return consecutiveFailures > 0
                && nowMs < lastFailureAtMs + SUSPECT_PER_FAILURE_MS * failures;
    }
}
