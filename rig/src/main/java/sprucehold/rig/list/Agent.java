package sprucehold.rig.list;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import sprucehold.rig.plan.Plan;
import sprucehold.rig.script.Fault;

/**
 * What one gatherer is told of the list, and when; faults make it late, silent, wrong or go back.
 */
public final class Agent {
    /** An answer: the whole list, or what changed. */
    public record News(long index, boolean whole, List<ServerList.Entry> entries) {}

    private final ServerList list;
    private final List<Plan.Befall> faults = new ArrayList<>();

    /** Whether the next answer has to be the whole list, as what it may see has changed. */
    private boolean anew;

    private long lastIndex = 1;

    public Agent(ServerList list) {
        this.list = list;
    }

    /** A fault of discovery begins or ends. */
    public void change(boolean begins, Plan.Befall fault) {
        if (begins) {
            faults.add(fault);
        } else {
            faults.remove(fault);
        }
        anew |=
                fault.fault().kind() == Fault.Kind.LIST_HIDES
                        || fault.fault().kind() == Fault.Kind.LIST_BACK;
    }

    private boolean any(Fault.Kind kind) {
        return faults.stream().anyMatch(fault -> fault.fault().kind() == kind);
    }

    /** Whether it takes calls and says nothing. */
    public boolean silent() {
        return any(Fault.Kind.LIST_SILENT);
    }

    /**
     * Answers a call, or null while there is nothing to say to it.
     *
     * @param after the index that the caller has, negative for none
     * @param waited whether the caller's time to wait is over
     */
    public News ask(double nowMs, long after, boolean waited) {
        if (silent()) {
            return null;
        }
        double late =
                faults.stream()
                        .filter(fault -> fault.fault().kind() == Fault.Kind.LIST_LATE)
                        .mapToDouble(fault -> fault.fault().amount())
                        .sum();
        long index = any(Fault.Kind.LIST_BACK) ? 1 : list.indexAt(nowMs - late);
        Set<String> hidden = new HashSet<>();
        faults.stream()
                .filter(fault -> fault.fault().kind() == Fault.Kind.LIST_HIDES)
                .forEach(fault -> hidden.addAll(fault.to()));
        if (anew || after < 0 || after > index) {
            anew = false;
            lastIndex = index;
            return whole(index, hidden);
        }
        List<ServerList.Entry> changed =
                list.between(after, index).values().stream()
                        .filter(entry -> !hidden.contains(entry.name()))
                        .toList();
        if (changed.isEmpty() && !waited) {
            return null;
        }
        lastIndex = index;
        return new News(index, false, changed);
    }

    /** The list as its gatherer last had it: what one that starts again is given. */
    public News known() {
        return whole(lastIndex, Set.of());
    }

    private News whole(long index, Set<String> hidden) {
        return new News(
                index,
                true,
                list.at(index).values().stream()
                        .filter(
                                entry ->
                                        entry.status() != ServerList.Status.LEFT
                                                && !hidden.contains(entry.name()))
                        .toList());
    }
}
