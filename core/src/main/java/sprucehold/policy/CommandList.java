package sprucehold.policy;

import java.util.ArrayList;
import java.util.List;
import sprucehold.decision.Command;

/** The commands of the current call, in the order in which they are to be carried out. */
final class CommandList {
    private List<Command> commands = new ArrayList<>();

    /** Starts a new list. A list returned by an earlier call stays unchanged. */
    void beginCall() {
        commands = new ArrayList<>();
    }

    void add(Command command) {
        commands.add(command);
    }

    List<Command> commands() {
        return commands;
    }
}
