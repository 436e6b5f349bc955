package sprucehold.standin.ledger;

import java.util.Map;
import sprucehold.decision.Endpoint;

/**
 * One observation by a client, a shard server, discovery or the run itself, outside the gatherers.
 * Records, components and constants have the names used in ledger files, which the test bed writes,
 * so they use the terms of the wire protocol.
 *
 * <table>
 * <caption>Names in ledger files and in the code</caption>
 * <tr><th>ledger</th><th>code</th></tr>
 * <tr><td>scan, tableType, segment</td><td>query, query class, shard</td></tr>
 * <tr><td>whole; THROTTLED, ABANDONED</td><td>complete; rejected, failed</td></tr>
 * <tr><td>Left; mode</td><td>client disconnected; endpoint state</td></tr>
 * <tr><td>FellOver; HeldUp; Told</td><td>crash from overload; outage of a gatherer; endpoint update
 *     sent</td></tr>
 * </table>
 */
public sealed interface Seen {
    /** Returns the time of the observation, in milliseconds by the one clock of the run. */
    double atMs();

    /**
     * A client has written the last byte of a query.
     *
     * @param atMs time of the observation, in milliseconds
     * @param gatherer the gatherer to which the client sent the query
     * @param scan the query's id
     * @param tableType the query class
     * @param timeLeftMs time that the client waits from then on, in milliseconds
     * @param weights weight of each part, by shard
     */
    record Asked(
            double atMs,
            String gatherer,
            String scan,
            String tableType,
            double timeLeftMs,
            Map<Integer, Double> weights)
            implements Seen {}

    /** Final result of a client's query. */
    enum Answer {
        /** The query was answered with values. */
        COMPLETED,
        /**
         * The query was rejected. This answer promises that the query had no effect, and asks the
         * client to retry later.
         */
        THROTTLED,
        /**
         * The query failed. Unlike a rejection, this answer doesn't promise that the query had no
         * effect.
         */
        ABANDONED,
        /** The connection was closed without an answer. */
        CLOSED
    }

    /**
     * A client has read the last byte of an answer, or its connection was closed without one.
     *
     * @param atMs time of the observation, in milliseconds
     * @param scan the query's id
     * @param answer the final result
     * @param whole whether the answer states that it is complete
     * @param values value of each part that the answer contains, by shard
     */
    record Answered(
            double atMs, String scan, Answer answer, boolean whole, Map<Integer, String> values)
            implements Seen {}

    /**
     * A client has closed its connection before it received an answer.
     *
     * @param atMs time of the observation, in milliseconds
     * @param scan the query's id
     */
    record Left(double atMs, String scan) implements Seen {}

    /**
     * The last byte of an attempt's frame has arrived at a shard server.
     *
     * @param atMs time of the observation, in milliseconds
     * @param gatherer the gatherer that sent the attempt
     * @param server the shard server
     * @param scan the query's id
     * @param segment shard of the part
     * @param toldMs time that the gatherer waits for the answer according to the frame, in
     *     milliseconds
     */
    record Arrived(
            double atMs, String gatherer, String server, String scan, int segment, double toldMs)
            implements Seen {}

    /**
     * A shard server has run a part, so that the effect of the part has happened.
     *
     * @param atMs time of the observation, in milliseconds
     * @param server the shard server
     * @param scan the query's id
     * @param segment shard of the part
     * @param value the value that the shard server returned
     */
    record Ran(double atMs, String server, String scan, int segment, String value)
            implements Seen {}

    /**
     * A shard server that was warming up was overloaded and crashed.
     *
     * @param atMs time of the observation, in milliseconds
     * @param server the shard server
     * @param workByGatherer work that each gatherer sent to it within the window of the slow-start
     *     rule, in milliseconds on one core; empty if unknown
     */
    record FellOver(double atMs, String server, Map<String, Double> workByGatherer)
            implements Seen {}

    /**
     * The run itself killed or paused a gatherer.
     *
     * @param atMs start of the outage, in milliseconds
     * @param untilMs end of the outage, in milliseconds
     * @param gatherer the gatherer
     * @param killed whether the gatherer was killed; false if it was paused
     */
    record HeldUp(double atMs, double untilMs, String gatherer, boolean killed) implements Seen {}

    /**
     * Discovery has written an update of an endpoint to a gatherer.
     *
     * @param atMs time of the observation, in milliseconds
     * @param gatherer the gatherer that discovery sent the update to
     * @param server the shard server
     * @param mode the endpoint's state
     */
    record Told(double atMs, String gatherer, String server, Endpoint.State mode) implements Seen {}
}
