package sprucehold.rig.fault;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import sprucehold.rig.plan.Plan;

/**
 * Tells when each fault of a plan begins and ends. Each begins at most once; times are seconds from
 * the first scan.
 */
public final class FaultBoard {
    /**
     * A fault that begins or ends.
     *
     * @param atS when it was due
     */
    public record Change(double atS, boolean begins, Plan.Befall what) {}

    private final PriorityQueue<Change> due =
            new PriorityQueue<>(Comparator.comparingDouble(Change::atS));
    private final Map<String, List<Plan.Befall>> afterFault = new HashMap<>();
    private final List<Plan.Befall> afterDispatches = new ArrayList<>();
    private final Set<Plan.Befall> inForce = new HashSet<>();

    public FaultBoard(List<Plan.Befall> faults) {
        for (Plan.Befall fault : faults) {
            if (fault.fault().when() == null) {
                due.add(new Change(fault.fault().atS(), true, fault));
            } else if (fault.fault().when().fault().isEmpty()) {
                afterDispatches.add(fault);
            } else {
                afterFault
                        .computeIfAbsent(fault.fault().when().fault(), name -> new ArrayList<>())
                        .add(fault);
            }
        }
    }

    /** All that has begun or ended by now, in the order of its times. */
    public List<Change> at(double nowS) {
        var changes = new ArrayList<Change>();
        while (!due.isEmpty() && due.peek().atS() <= nowS) {
            Change change = due.poll();
            changes.add(change);
            if (change.begins()) {
                inForce.add(change.what());
                if (change.what().fault().forS() < Double.POSITIVE_INFINITY) {
                    due.add(
                            new Change(
                                    change.atS() + change.what().fault().forS(),
                                    false,
                                    change.what()));
                }
                for (Plan.Befall next :
                        afterFault.getOrDefault(change.what().fault().name(), List.of())) {
                    due.add(new Change(change.atS() + next.fault().atS(), true, next));
                }
            } else {
                inForce.remove(change.what());
            }
        }
        return changes;
    }

    /** A gatherer has so many dispatches out now. */
    public void out(double nowS, String gatherer, int dispatches) {
        afterDispatches.removeIf(
                fault -> {
                    var when = fault.fault().when();
                    boolean met =
                            when.gatherer().equals(gatherer) && dispatches >= when.dispatchesOut();
                    if (met) {
                        due.add(new Change(nowS + fault.fault().atS(), true, fault));
                    }
                    return met;
                });
    }

    /** When something is due next, infinite if nothing is. */
    public double nextS() {
        return due.isEmpty() ? Double.POSITIVE_INFINITY : due.peek().atS();
    }

    /** Whether some fault waits for a count of dispatches, so that it has to be told of them. */
    public boolean counts() {
        return !afterDispatches.isEmpty();
    }

    /** What is in force, for the end of a run to undo. */
    public Set<Plan.Befall> inForce() {
        return Set.copyOf(inForce);
    }
}
