package sprucehold.standin.rules;

import java.util.List;
import sprucehold.standin.ledger.Seen;

/**
 * The check of one rule. {@link RuleChecker} calls its methods for the observations in the ledger,
 * in the order of time. Observations of a query are passed on only if the query is known to the
 * checker.
 */
interface RuleCheck {
    default void querySent(Seen.Asked asked) {}

    /** A client has received the first answer to a query. */
    default void queryAnswered(QueryRecord query, Seen.Answered answered) {}

    /**
     * An attempt has arrived at a shard server.
     *
     * @param earlierMs arrival times of earlier attempts of the part, in milliseconds; empty for
     *     the first attempt
     */
    default void attemptArrived(QueryRecord query, Seen.Arrived arrived, List<Double> earlierMs) {}

    /**
     * A part has run at a shard server.
     *
     * @param earlier earlier runs of the part; empty for the first run
     */
    default void partRan(QueryRecord query, Seen.Ran ran, List<Seen.Ran> earlier) {}

    default void serverCrashed(Seen.FellOver fellOver) {}

    default void endpointUpdateSent(Seen.Told update) {}

    /** The run that the ledger describes is over. Called once for each query. */
    default void runEnded(QueryRecord query, double endMs) {}
}
