package sprucehold.coordinator;

import java.util.List;

/** Final answer to a query. Each query gets at most one. */
public sealed interface Answer {
    /**
     * The query is answered with the values of its completed parts.
     *
     * @param complete whether the coverage reaches that of a complete answer
     * @param values the values of the parts that were completed, in the order of the query's parts
     */
    record Completed(boolean complete, List<Value> values) implements Answer {}

    /**
     * The query was rejected. The client can safely send it again, because none of its parts can
     * have run or its query class allows parts to run again.
     *
     * @param retryAfterMs delay after which the client should send the query again, in
     *     milliseconds; 0 for no advice
     */
    record Rejected(double retryAfterMs) implements Answer {}

    /** The query failed. It may or may not have had an effect. */
    record Failed() implements Answer {}

    /**
     * Value that a shard server returned for one part.
     *
     * @param shard the shard that the part queried
     * @param payload the value
     */
    record Value(int shard, Payload payload) {}
}
