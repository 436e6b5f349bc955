package sprucehold.coordinator;

import sprucehold.decision.AttemptOutcome;

/** Maps the network code's result of an attempt to the outcome that the policy receives. */
final class AttemptOutcomes {
    private AttemptOutcomes() {}

    /**
     * Returns the outcome of an attempt. The outcome must be exact about whether the part may have
     * run: the policy relies on it to never run a part more often than the query class allows.
     *
     * @param result how the attempt ended
     * @param timedOut whether the attempt was cancelled because its timeout expired
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
