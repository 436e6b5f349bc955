package sprucehold.coordinator;

import java.util.List;
import sprucehold.decision.Command;
import sprucehold.decision.Reason;

/**
 * What the network code has to do now. Attempts to cancel were sent by earlier commands; none of
 * those to send is among them, and none of those to send belongs to a query that has been answered.
 *
 * @param cancel attempts to cancel
 * @param send attempts to send
 * @param replies final answers to give
 * @param healthChecks shard servers to check
 * @param consumed units of shared limits consumed for queries; what an attempt consumes goes with
 *     the attempt
 * @param subscribe whether to ask for the endpoint list now
 * @param logMessages lines for the operators' log
 * @param nextTickAtMs when to tick next, in milliseconds of the caller's clock; infinite if there
 *     is no need
 */
public record Commands(
        List<Attempt> cancel,
        List<Attempt> send,
        List<Reply> replies,
        List<ShardServer> healthChecks,
        List<Command.ConsumeAllowance> consumed,
        boolean subscribe,
        List<String> logMessages,
        double nextTickAtMs) {

    /**
     * The final answer of a query.
     *
     * @param query the query
     * @param answer its answer
     * @param reason why it is this one; {@link Reason#UNSTATED} where the policy had no say
     */
    public record Reply(Query query, Answer answer, Reason reason) {}
}
