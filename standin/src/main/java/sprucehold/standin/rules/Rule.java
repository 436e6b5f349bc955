package sprucehold.standin.rules;

/** The six rules. Their names are printed in the verdicts of runs. */
public enum Rule {
    /**
     * Each query that was received gets exactly one final answer before its deadline. None of its
     * parts is sent after the answer or after the client's disconnect. Checked by {@link
     * OneAnswerCheck}.
     */
    ONE_ANSWER,
    /**
     * No part takes effect twice; a query is rejected only if none of its non-idempotent parts can
     * have run. Checked by {@link NoEffectTwiceCheck}.
     */
    NO_EFFECT_TWICE,
    /**
     * No new attempt is sent to a draining or gone server after the grace period. Checked by {@link
     * DrainCheck}.
     */
    DRAINS,
    /**
     * No server that is warming up crashes from overload. Checked by {@link OverloadCrashCheck}.
     */
    COLD,
    /**
     * No answer has less than the minimum coverage, is called complete without being complete, or
     * contains a value that no shard server returned. Checked by {@link HonestAnswerCheck}.
     */
    HONEST,
    /** Retries stay within their budgets. Checked by {@link RetryBudgetCheck}. */
    BUDGET
}
