package sprucehold.standin.rules;

/** The six rules. Verdicts of runs print the names. */
public enum Rule {
    /**
     * Each query that was received gets exactly one final answer before its deadline, and no part
     * of it is sent after that. Checked by {@link OneAnswerCheck}.
     */
    ONE_ANSWER,
    /**
     * No effect happens twice; a query is rejected only if none of its non-idempotent parts can
     * have run. Checked by {@link NoEffectTwiceCheck}.
     */
    NO_EFFECT_TWICE,
    /**
     * Nothing new is sent to a draining or gone server after the grace. Checked by {@link
     * DrainCheck}.
     */
    DRAINS,
    /**
     * A warming server is never overloaded until it falls over. Checked by {@link FallOverCheck}.
     */
    COLD,
    /**
     * No answer has less than the minimum coverage, is called complete without being so, or holds a
     * value that no server made. Checked by {@link HonestAnswerCheck}.
     */
    HONEST,
    /** Retries stay within their budgets. Checked by {@link RetryBudgetCheck}. */
    BUDGET
}
