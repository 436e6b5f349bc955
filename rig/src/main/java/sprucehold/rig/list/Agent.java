package sprucehold.rig.list;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import sprucehold.rig.plan.Plan;
import sprucehold.rig.script.Fault;

/**
 * Decides which endpoint lists one gatherer receives, and when. Faults make the list late, absent,
 * incomplete or outdated.
 */
public final class Agent {
    /**
     * An answer to a call.
     *
     * @param index index of the list's last change that the answer covers
     * @param snapshot whether the answer is a snapshot of the whole list; otherwise it contains the
     *     changed entries
     */
    public record Answer(long index, boolean snapshot, List<ServerList.Entry> entries) {}

    private final ServerList list;
    private final List<Plan.TargetedFault> faults = new ArrayList<>();

    /**
     * Whether the next answer has to be the whole list, because the entries that the gatherer may
     * see have changed.
     */
    private boolean snapshotNeeded;

    private long lastIndex = 1;

    public Agent(ServerList list) {
        this.list = list;
    }

    /** Applies a fault of discovery that begins, or removes one that ends. */
    public void change(boolean begins, Plan.TargetedFault fault) {
        if (begins) {
            faults.add(fault);
        } else {
            faults.remove(fault);
        }
        snapshotNeeded |=
                fault.fault().kind() == Fault.Kind.LIST_HIDES
                        || fault.fault().kind() == Fault.Kind.LIST_BACK;
    }

    private boolean active(Fault.Kind kind) {
        return faults.stream().anyMatch(fault -> fault.fault().kind() == kind);
    }

    /** Returns whether calls are accepted but not answered. */
    public boolean silent() {
        return active(Fault.Kind.LIST_SILENT);
    }

    /**
     * Returns the answer to a call, or null while there is no change to report and the call may
     * still wait.
     *
     * @param after the index of the list that the caller has, negative for none
     * @param waited whether the caller's waiting time is over
     */
    public Answer answer(double nowMs, long after, boolean waited) {
        if (silent()) {
            return null;
        }
        double delayMs =
                faults.stream()
                        .filter(fault -> fault.fault().kind() == Fault.Kind.LIST_LATE)
                        .mapToDouble(fault -> fault.fault().amount())
                        .sum();
        long index = active(Fault.Kind.LIST_BACK) ? 1 : list.indexAt(nowMs - delayMs);
        Set<String> hidden = new HashSet<>();
        faults.stream()
                .filter(fault -> fault.fault().kind() == Fault.Kind.LIST_HIDES)
                .forEach(fault -> hidden.addAll(fault.to()));
        if (snapshotNeeded || after < 0 || after > index) {
            snapshotNeeded = false;
            lastIndex = index;
            return wholeList(index, hidden);
        }
        List<ServerList.Entry> changed =
                list.changesBetween(after, index).values().stream()
                        .filter(entry -> !hidden.contains(entry.name()))
                        .toList();
        if (changed.isEmpty() && !waited) {
            return null;
        }
        lastIndex = index;
        return new Answer(index, false, changed);
    }

    /**
     * Returns the list that the gatherer received last. A gatherer that restarts gets it as its
     * initial list.
     */
    public Answer lastSent() {
        return wholeList(lastIndex, Set.of());
    }

    private Answer wholeList(long index, Set<String> hidden) {
        return new Answer(
                index,
                true,
                list.entriesAt(index).values().stream()
                        .filter(
                                entry ->
                                        entry.status() != ServerList.Status.LEFT
                                                && !hidden.contains(entry.name()))
                        .toList());
    }
}
