package sprucehold.policy;

import sprucehold.decision.AttemptOutcome;
import sprucehold.decision.Event;
import sprucehold.decision.QueryClass;
import sprucehold.decision.Reason;

/**
 * Processes the results of attempts: updates the statistics, the state of the server, the part and
 * its query.
 */
final class AttemptResults {
    /**
     * Portion of the latency objective within which a completion counts as quick. Further attempts
     * can then be queued at the server, and a retry would still be in time.
     */
    private static final double QUICK_PORTION = 0.25;

    private final DecisionContext context;
    private final OpenQueries openQueries;
    private final LatencyStatistics latencies;
    private final OverloadSignal overloadSignal;
    private final SuspectDetector suspects;
    private final AttemptSender sender;
    private final Completion completion;

    AttemptResults(
            DecisionContext context,
            OpenQueries openQueries,
            LatencyStatistics latencies,
            OverloadSignal overloadSignal,
            SuspectDetector suspects,
            AttemptSender sender,
            Completion completion) {
        this.context = context;
        this.openQueries = openQueries;
        this.latencies = latencies;
        this.overloadSignal = overloadSignal;
        this.suspects = suspects;
        this.sender = sender;
        this.completion = completion;
    }

    void onAttemptEnded(Event.AttemptEnded ended) {
        ScheduledPart part = openQueries.part(ended.partId());
        if (part == null) {
            return;
        }
        PartAttempt attempt = part.attempts().get(ended.attemptNumber());
        boolean wanted = !part.isObsolete() && !part.isCompleted();
        attempt.end();
        if (!ended.outcome().provesNeverRan()) {
            part.markMayHaveRun();
        }
        if (ended.outcome() == AttemptOutcome.COMPLETED) {
            onCompleted(attempt, ended.durationMs(), wanted);
        } else {
            onNotCompleted(attempt, ended.outcome(), wanted);
        }
        openQueries.removeIfDone(part);
    }

    private void onCompleted(PartAttempt attempt, double latencyMs, boolean wanted) {
        ScheduledPart part = attempt.part();
        QueryClass queryClass = part.query().queryClass();
        ShardServerState server = attempt.server();
        latencies.record(queryClass, latencyMs);
        server.onAnswer(attempt, context.nowMs());
        if (!attempt.isLate()) {
            overloadSignal.recordCompleted(queryClass, latencyMs);
            suspects.onInTime(server.zone());
            boolean quick = latencyMs < queryClass.latencyObjectiveMs() * QUICK_PORTION;
            server.onCompletedInTime(context.nowMs(), quick);
        }
        if (!part.round().isTimerExpired() && !part.isCompleted()) {
            part.round().countCompleted();
        }
        part.markCompleted();
        if (wanted) {
            sender.cancel(part, Reason.PART_COMPLETED);
            completion.evaluate(part.query());
        }
    }

    private void onNotCompleted(PartAttempt attempt, AttemptOutcome outcome, boolean wanted) {
        ScheduledPart part = attempt.part();
        if (outcome == AttemptOutcome.CANCELLED || outcome == AttemptOutcome.NEVER_SENT) {
            if (!part.round().isTimerExpired() && !part.isCompleted() && attempt.isCancelled()) {
                part.round().countCancelled();
            }
        } else if (isNewFailure(attempt, outcome)) {
            attempt.server().onFailure(context.nowMs(), outcome == AttemptOutcome.UNREACHABLE);
        }
        if (outcome == AttemptOutcome.RESET) {
            part.markConnectionReset();
        }
        if (wanted && !part.hasPendingAttempt()) {
            sender.retry(part);
            completion.evaluate(part.query());
        }
    }

    /**
     * Returns whether an outcome counts as a new failure of the server. Late attempts are handled
     * by {@link LateDetector}. A timeout before the attempt was late is due to the client's short
     * deadline. Attempts that end at the same time count as one failure, because a broken
     * connection ends all attempts on it. An unreachable server counts as a new failure each time.
     */
    private boolean isNewFailure(PartAttempt attempt, AttemptOutcome outcome) {
        if (attempt.isLate() || outcome == AttemptOutcome.TIMED_OUT) {
            return false;
        }
        return outcome == AttemptOutcome.UNREACHABLE
                || attempt.server().ejection().lastFailureAtMs() < context.nowMs();
    }
}
