package sprucehold.policy;

import sprucehold.decision.AttemptOutcome;
import sprucehold.decision.Event;
import sprucehold.decision.QueryClass;
import sprucehold.decision.Reason;

/** Takes in how attempts ended: for the statistics, the server, the part and its query. */
final class AttemptResults {
    /** A completion within this portion of the latency objective leaves time to queue more. */
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

    void onEnded(Event.AttemptEnded ended) {
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
        openQueries.forgetIfDone(part);
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
            completion.settle(part.query());
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
            completion.settle(part.query());
        }
    }

    /**
     * Whether an outcome speaks against the server. A timeout before the attempt was late tells of
     * the client, and attempts that end at the same moment are one failure, as of a connection.
     */
    private boolean isNewFailure(PartAttempt attempt, AttemptOutcome outcome) {
        if (attempt.isLate() || outcome == AttemptOutcome.TIMED_OUT) {
            return false;
        }
        return outcome == AttemptOutcome.UNREACHABLE
                || attempt.server().ejection().lastFailureAtMs() < context.nowMs();
    }
}
