package sprucehold.coordinator;

import java.util.List;
import sprucehold.decision.Command;
import sprucehold.decision.Reason;

/**
 * What is to be done now. Dispatches called off were ordered earlier; none of those to send is
 * among them, and none belongs to a scan that has been answered.
 *
 * @param subscribe whether to ask for the list now
 * @param consumed units of shared bounds taken for scans; what dispatches take goes with each
 * @param logMessages lines for the operators' log
 * @param nextTickAtMs when to tick next, infinite if there is no need
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
     * The final answer of a scan, and why it is this one: {@link Reason#UNSTATED} where the
     * decisions had no say.
     */
    public record Reply(Query query, Answer answer, Reason reason) {}
}
