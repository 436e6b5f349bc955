package sprucehold.standin.ledger;

import java.util.Map;
import sprucehold.decision.Endpoint;

/**
 * One observation of somebody outside a gatherer. Names of records, components and constants are
 * those of ledger files, which the test bed writes; so they keep the wire's terms.
 *
 * <table>
 * <caption>Names in ledger files and what they are in the code</caption>
 * <tr><th>ledger</th><th>code</th></tr>
 * <tr><td>scan, tableType, segment</td><td>query, query class, shard</td></tr>
 * <tr><td>whole; THROTTLED, ABANDONED</td><td>complete; rejected, failed</td></tr>
 * <tr><td>Left; mode</td><td>client disconnected; endpoint state</td></tr>
 * </table>
 */
public sealed interface Seen {
    /** When it was observed, in milliseconds by the one clock of the run. */
    double atMs();

    /**
     * A client has written the last byte of a query.
     *
     * @param atMs when
     * @param gatherer whom it asked
     * @param scan the query's id
     * @param tableType the query class
     * @param timeLeftMs how long the client waits from then on, in milliseconds
     * @param weights the weight of each part, by shard
     */
    record Asked(
            double atMs,
            String gatherer,
            String scan,
            String tableType,
            double timeLeftMs,
            Map<Integer, Double> weights)
            implements Seen {}

    /** How a client's query ended. */
    enum Answer {
        /** Answered with values. */
        COMPLETED,
        /** Rejected: asked to come again. */
        THROTTLED,
        /** Failed: answered without a promise. */
        ABANDONED,
        /** The connection was closed without an answer. */
        CLOSED
    }

    /**
     * A client has read the last byte of an answer, or its connection was closed without one.
     *
     * @param atMs when
     * @param scan the query's id
     * @param answer the kind of answer
     * @param whole whether the answer calls itself complete
     * @param values the value of each part that it holds, by shard
     */
    record Answered(
            double atMs, String scan, Answer answer, boolean whole, Map<Integer, String> values)
            implements Seen {}

    /**
     * A client has closed its connection before it had an answer.
     *
     * @param atMs when
     * @param scan the query's id
     */
    record Left(double atMs, String scan) implements Seen {}

    /**
     * The last byte of an attempt's frame has arrived at a shard server.
     *
     * @param atMs when
     * @param gatherer who sent it
     * @param server the shard server
     * @param scan the query's id
     * @param segment the part's shard
     * @param toldMs how long its answer is waited for, as the frame says, in milliseconds
     */
    record Arrived(
            double atMs, String gatherer, String server, String scan, int segment, double toldMs)
            implements Seen {}

    /**
     * A shard server has run a part: its effect has happened.
     *
     * @param atMs when
     * @param server the shard server
     * @param scan the query's id
     * @param segment the part's shard
     * @param value what it returned
     */
    record Ran(double atMs, String server, String scan, int segment, String value)
            implements Seen {}

    /**
     * A warming shard server was overloaded and fell over.
     *
     * @param atMs when
     * @param server the shard server
     * @param workByGatherer the work that each gatherer sent it within the rule's window, in
     *     milliseconds on one core; empty if that isn't known
     */
    record FellOver(double atMs, String server, Map<String, Double> workByGatherer)
            implements Seen {}

    /**
     * A gatherer was killed or paused by the run itself.
     *
     * @param atMs from when
     * @param untilMs until when, in milliseconds
     * @param gatherer which one
     * @param killed whether it was killed; otherwise it was paused
     */
    record HeldUp(double atMs, double untilMs, String gatherer, boolean killed) implements Seen {}

    /**
     * Discovery has written an update of an endpoint to a gatherer.
     *
     * @param atMs when
     * @param gatherer whom it told
     * @param server the shard server
     * @param mode the endpoint's state
     */
    record Told(double atMs, String gatherer, String server, Endpoint.State mode) implements Seen {}
}
