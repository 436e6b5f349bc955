package sprucehold.trace.event;

import java.util.ArrayList;
import java.util.List;
import sprucehold.decision.Command;
import sprucehold.decision.Event;

/**
 * One call of the policy: what went in and what came out.
 *
 * @param policyFailed the policy ended by an exception, so nothing came out
 * @param total how many events and commands the call had; more than {@code items} where some were
 *     left out
 * @param items those kept, by rising index
 */
public record PolicyCall(
        int source, long seq, double nowMs, boolean policyFailed, int total, List<Item> items)
        implements Entry {
    /** Copies the items. */
    public PolicyCall {
        items = List.copyOf(items);
    }

    /** A whole moment. */
    public static PolicyCall of(
            int source,
            long seq,
            double nowMs,
            List<Event> events,
            List<Command> actions,
            boolean failed) {
        var items = new ArrayList<Item>(events.size() + actions.size());
        events.forEach(event -> items.add(new Item(items.size(), event, null)));
        actions.forEach(command -> items.add(new Item(items.size(), null, command)));
        return new PolicyCall(source, seq, nowMs, failed, items.size(), items);
    }

    /** Whether nothing was left out. */
    public boolean isComplete() {
        return items.size() == total;
    }

    /** The events that went in, of those kept. */
    public List<Event> events() {
        return items.stream().map(Item::event).filter(event -> event != null).toList();
    }

    /** The commands that came out, of those kept. */
    public List<Command> commands() {
        return items.stream().map(Item::command).filter(command -> command != null).toList();
    }

    @Override
    public PolicyCall withSource(int other) {
        return new PolicyCall(other, seq, nowMs, policyFailed, total, items);
    }

    /** The same call with fewer items. */
    public PolicyCall withItems(List<Item> kept) {
        return new PolicyCall(source, seq, nowMs, policyFailed, total, kept);
    }
}
