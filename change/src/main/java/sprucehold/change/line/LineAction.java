package sprucehold.change.line;

import java.util.List;
import sprucehold.change.document.Difference;
import sprucehold.change.document.Fault;

/** Something the line of versions wants done. Actions are carried out in order. */
public sealed interface LineAction {
    /** Written down, and on the disk, before what follows is done. */
    record Write(JournalEntry entry) implements LineAction {}

    /** The answer to a proposal that was taken. */
    record Accepted(String id, Version version, Difference difference) implements LineAction {}

    /** The answer to a proposal that was the same as one before. */
    record AlreadyThere(String id, long number) implements LineAction {}

    /**
     * The answer to a proposal that was not taken.
     *
     * @param faults what is wrong with it
     * @param meanwhile what changed since the version it was made from; null where nothing did
     */
    record TurnedDown(String id, List<Fault> faults, Difference meanwhile) implements LineAction {}

    /** The version's document is in force from now on, in one step. */
    record Apply(Version version) implements LineAction {}

    /** Service is to be watched against what it was before. */
    record Watch(long number) implements LineAction {}

    /** The watch ends. */
    record StopWatch(long number) implements LineAction {}

    /** A line for the operators' log. */
    record Tell(String line) implements LineAction {}
}
