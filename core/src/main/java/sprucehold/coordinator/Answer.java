package sprucehold.coordinator;

import java.util.List;

/** The one final answer of a query. */
public sealed interface Answer {
    /**
     * The query has an answer.
     *
     * @param complete whether its coverage is that of a complete answer
     * @param values the values of the parts that were completed, in the order of the query's parts
     */
    record Completed(boolean complete, List<Value> values) implements Answer {}

    /**
     * The query has had no effect, and asking again is harmless.
     *
     * @param retryAfterMs when the client should ask again, in milliseconds; 0 for no advice
     */
    record Rejected(double retryAfterMs) implements Answer {}

    /** No promise about the query's effect. */
    record Failed() implements Answer {}

    /**
     * What a shard server answered to one part.
     *
     * @param shard the shard that the part asked
     * @param payload the value
     */
    record Value(int shard, Payload payload) {}
}
