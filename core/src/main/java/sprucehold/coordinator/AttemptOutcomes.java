package sprucehold.coordinator;

import sprucehold.decision.AttemptOutcome;

/** Translates what the network code saw of an attempt into the policy's outcome. */
final class AttemptOutcomes {
    private AttemptOutcomes() {}

    /**
     * The outcome of an attempt. It also says whether the part may have run, and the rule that
     * effects happen no more often than allowed rests on that.
     *
     * @param result how the attempt ended
     * @param timedOut whether it was cancelled because its timeout was over
     */
    static AttemptOutcome of(AttemptResult result, boolean timedOut) {
        if (result instanceof AttemptResult.Completed) {
            return AttemptOutcome.COMPLETED;
        }
        if (result instanceof AttemptResult.Failed) {
            return AttemptOutcome.ERROR;
        }
        if (result instanceof AttemptResult.Rejected) {
            return AttemptOutcome.OVERLOADED;
        }
        if (result instanceof AttemptResult.ConnectionLost lost) {
            return ofConnectionLost(lost.progress());
        }
        return ofCancelled(((AttemptResult.Cancelled) result).progress(), timedOut);
    }

    private static AttemptOutcome ofConnectionLost(WriteProgress progress) {
        return progress == WriteProgress.WRITTEN
                ? AttemptOutcome.RESET
                : AttemptOutcome.UNREACHABLE;
    }

    private static AttemptOutcome ofCancelled(WriteProgress progress, boolean timedOut) {
        if (progress != WriteProgress.WRITTEN) {
            return AttemptOutcome.NEVER_SENT;
        }
        return timedOut ? AttemptOutcome.TIMED_OUT : AttemptOutcome.CANCELLED;
    }
}
