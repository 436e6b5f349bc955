package sprucehold.standin.rules;

/** The six rules. */
public enum Rule {
    /**
     * Each scan taken gets exactly one final answer in its client's time, and no part goes out
     * after it.
     */
    ONE_ANSWER,
    /**
     * No effect twice; a scan is throttled only if none of its non-replayable parts can have run.
     */
    NO_EFFECT_TWICE,
    /** Nothing new goes to a draining or gone server after the grace. */
    DRAINS,
    /** A cold server is never pushed over. */
    COLD,
    /** No answer under the least share, whole only if whole, and no value that no server made. */
    HONEST,
    /** Further dispatches stay within their budget. */
    BUDGET
}
