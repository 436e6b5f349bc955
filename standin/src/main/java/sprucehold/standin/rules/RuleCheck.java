package sprucehold.standin.rules;

import java.util.List;
import sprucehold.standin.ledger.Seen;

/**
 * The check of one rule. It is told of the ledger's entries in the order of time, and only of those
 * that concern known queries; {@link RuleChecker} keeps the queries.
 */
interface RuleCheck {
    default void queryAsked(Seen.Asked asked) {}

    /** The first answer to a query. */
    default void queryAnswered(QueryRecord query, Seen.Answered answered) {}

    /**
     * An attempt has arrived at a shard server.
     *
     * @param earlierMs when earlier attempts of the part arrived; empty if it is the first
     */
    default void attemptArrived(QueryRecord query, Seen.Arrived arrived, List<Double> earlierMs) {}

    /**
     * A part has run at a shard server.
     *
     * @param earlier where the part ran before; empty if it is the first time
     */
    default void partRan(QueryRecord query, Seen.Ran ran, List<Seen.Ran> earlier) {}

    default void serverFellOver(Seen.FellOver fellOver) {}

    default void endpointTold(Seen.Told told) {}

    /** The run is over; called once for each query. */
    default void runEnded(QueryRecord query, double endMs) {}
}
