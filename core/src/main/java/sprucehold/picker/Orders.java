package sprucehold.picker;

import java.util.List;
import sprucehold.port.Action;
import sprucehold.port.Reason;

/**
 * What is to be done now. Dispatches called off were ordered earlier; none of those to send is
 * among them, and none belongs to a scan that has been answered.
 *
 * @param askList whether to ask for the list now
 * @param uses units of shared bounds taken for scans; what dispatches take goes with each
 * @param notes lines for the operators' log
 * @param nextTickAtMs when to tick next, infinite if there is no need
 */
public record Orders(
        List<Dispatch> cancel,
        List<Dispatch> send,
        List<Reply> replies,
        List<ShardServer> probe,
        List<Action.Use> uses,
        boolean askList,
        List<String> notes,
        double nextTickAtMs) {

    /**
     * The final answer of a scan, and why it is this one: {@link Reason#UNSTATED} where the
     * decisions had no say.
     */
    public record Reply(Scan scan, Answer answer, Reason reason) {}
}
