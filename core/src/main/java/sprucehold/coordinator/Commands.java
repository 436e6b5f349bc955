package sprucehold.coordinator;

import java.util.List;
import sprucehold.decision.Command;
import sprucehold.decision.Reason;

/**
 * Commands that the network code has to execute now. The attempts to cancel were sent by earlier
 * commands. No attempt is both to be sent and to be cancelled, and no attempt to send belongs to a
 * query that has been answered.
 *
 * @param attemptsToCancel attempts to cancel
 * @param attemptsToSend attempts to send
 * @param replies final answers to send to clients
 * @param serversToCheck shard servers whose health is to be checked
 * @param consumed units of shared limits consumed by queries; the units that an attempt consumes
 *     are in {@link Attempt#consumed}
 * @param subscribe whether to subscribe to endpoint updates now
 * @param logMessages messages to write to the log
 * @param nextTickAtMs time of the next call of {@link QueryCoordinator#tick}, in milliseconds on
 *     the caller's clock; infinite if none is needed
 */
public record Commands(
        List<Attempt> attemptsToCancel,
        List<Attempt> attemptsToSend,
        List<Reply> replies,
        List<ShardServer> serversToCheck,
        List<Command.ConsumeAllowance> consumed,
        boolean subscribe,
        List<String> logMessages,
        double nextTickAtMs) {

    /**
     * Final answer to a query.
     *
     * @param query the query
     * @param answer the answer to send
     * @param reason the policy's reason for the answer; {@link Reason#UNSTATED} if the policy did
     *     not decide on the answer
     */
    public record Reply(Query query, Answer answer, Reason reason) {}
}
