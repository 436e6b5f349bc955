package sprucehold.standin.ledger;

import java.util.Map;
import sprucehold.decision.Endpoint;

/**
 * One thing that somebody outside a gatherer saw; {@code atMs} is when, by the one clock of the
 * run.
 */
public sealed interface Seen {
    double atMs();

    /**
     * A client has written the last byte of a scan.
     *
     * @param weights the weight of each part, by segment
     * @param timeLeftMs how long it waits from then on
     */
    record Asked(
            double atMs,
            String gatherer,
            String scan,
            String tableType,
            double timeLeftMs,
            Map<Integer, Double> weights)
            implements Seen {}

    /** How a client's scan ended. */
    enum Answer {
        COMPLETED,
        THROTTLED,
        ABANDONED,
        CLOSED
    }

    /**
     * A client has read the last byte of an answer, or its connection was closed without one.
     *
     * @param whole whether the answer calls itself whole
     * @param values the value of each part that is in, by segment
     */
    record Answered(
            double atMs, String scan, Answer answer, boolean whole, Map<Integer, String> values)
            implements Seen {}

    /** A client has closed its connection before it had an answer. */
    record Left(double atMs, String scan) implements Seen {}

    /**
     * The last byte of a part's frame has arrived at a shard server.
     *
     * @param toldMs how long its answer is waited for, as the frame says
     */
    record Arrived(
            double atMs, String gatherer, String server, String scan, int segment, double toldMs)
            implements Seen {}

    /** A shard server has run a part: its effect has happened. */
    record Ran(double atMs, String server, String scan, int segment, String value)
            implements Seen {}

    /**
     * A shard server was pushed over.
     *
     * @param workByGatherer the work that each gatherer sent it within the rule's window, in
     *     milliseconds on one core; empty where that isn't known
     */
    record FellOver(double atMs, String server, Map<String, Double> workByGatherer)
            implements Seen {}

    /** A gatherer was held up by whoever made the run: killed or paused, from {@code atMs} on. */
    record HeldUp(double atMs, double untilMs, String gatherer, boolean killed) implements Seen {}

    /** Discovery has written news of a shard server to a gatherer. */
    record Told(double atMs, String gatherer, String server, Endpoint.State mode) implements Seen {}
}
