package sprucehold.trace.event;

import sprucehold.decision.Command;
import sprucehold.decision.Event;

/**
 * One event given to the policy or one command returned by it: exactly one of the two is not null.
 *
 * @param index position, from 0, in the list of all events followed by all commands of the policy
 *     call
 */
public record Item(int index, Event event, Command command) {
    /** Checks that exactly one of event and command is given. */
    public Item {
        if ((event == null) == (command == null)) {
            throw new IllegalArgumentException("an item must have either an event or a command");
        }
    }

    /** Returns the event or the command, whichever is not null. */
    public Object eventOrCommand() {
        return event != null ? event : command;
    }
}
