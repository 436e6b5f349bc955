package sprucehold.trace.event;

import java.util.ArrayList;
import java.util.List;
import sprucehold.decision.Command;
import sprucehold.decision.Event;

/**
 * One call of the policy: the events given to it and the commands returned by it.
 *
 * @param policyFailed whether the policy threw an exception, so that it returned no commands
 * @param total the number of events and commands of the call; greater than the size of {@code
 *     items} if some of them are omitted
 * @param items the kept events and commands, by ascending index
 */
public record PolicyCall(
        int source, long seq, double nowMs, boolean policyFailed, int total, List<Item> items)
        implements Entry {
    /** Copies the items. */
    public PolicyCall {
        items = List.copyOf(items);
    }

    /** Creates a call with all its events and commands. */
    public static PolicyCall of(
            int source,
            long seq,
            double nowMs,
            List<Event> events,
            List<Command> commands,
            boolean policyFailed) {
        var items = new ArrayList<Item>(events.size() + commands.size());
        events.forEach(event -> items.add(new Item(items.size(), event, null)));
        commands.forEach(command -> items.add(new Item(items.size(), null, command)));
        return new PolicyCall(source, seq, nowMs, policyFailed, items.size(), items);
    }

    /** Returns whether no event or command is omitted. */
    public boolean isComplete() {
        return items.size() == total;
    }

    /** Returns the kept events. */
    public List<Event> events() {
        return items.stream().map(Item::event).filter(event -> event != null).toList();
    }

    /** Returns the kept commands. */
    public List<Command> commands() {
        return items.stream().map(Item::command).filter(command -> command != null).toList();
    }

    @Override
    public PolicyCall withSource(int newSource) {
        return new PolicyCall(newSource, seq, nowMs, policyFailed, total, items);
    }

    /** Returns a copy of the call with these items only. */
    public PolicyCall withItems(List<Item> kept) {
        return new PolicyCall(source, seq, nowMs, policyFailed, total, kept);
    }
}
