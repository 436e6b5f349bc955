package sprucehold.trace.event;

import sprucehold.decision.Command;
import sprucehold.decision.Event;

/**
 * One event that went in, or one command that came out: exactly one of the two is not null.
 *
 * @param index its place, from 0, among all events and then all commands of its moment
 */
public record Item(int index, Event event, Command command) {
    /** Takes exactly one of the two. */
    public Item {
        if ((event == null) == (command == null)) {
            throw new IllegalArgumentException("an item is an event or an action");
        }
    }

    /** The event or the command, whichever it is. */
    public Object eventOrCommand() {
        return event != null ? event : command;
    }
}
