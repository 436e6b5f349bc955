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
 * Schedules the start and the end of each fault of a plan. Each fault starts at most once. Times
 * are in seconds since the start of the load.
 */
public final class FaultSchedule {
    /**
     * The start or the end of a fault.
     *
     * @param atS scheduled time, in seconds since the start of the load
     * @param begins true at the start of the fault, false at its end
     * @param fault the fault
     */
    public record Change(double atS, boolean begins, Plan.TargetedFault fault) {}

    private final PriorityQueue<Change> scheduled =
            new PriorityQueue<>(Comparator.comparingDouble(Change::atS));
    private final Map<String, List<Plan.TargetedFault>> triggeredByFault = new HashMap<>();
    private final List<Plan.TargetedFault> triggeredByOpenAttempts = new ArrayList<>();
    private final Set<Plan.TargetedFault> active = new HashSet<>();

    public FaultSchedule(List<Plan.TargetedFault> faults) {
        for (Plan.TargetedFault fault : faults) {
            if (fault.fault().when() == null) {
                scheduled.add(new Change(fault.fault().atS(), true, fault));
            } else if (fault.fault().when().fault().isEmpty()) {
                triggeredByOpenAttempts.add(fault);
            } else {
                triggeredByFault
                        .computeIfAbsent(fault.fault().when().fault(), name -> new ArrayList<>())
                        .add(fault);
            }
        }
    }

    /**
     * Returns the faults that have started or ended up to now and were not returned before, in the
     * order of their scheduled times.
     */
    public List<Change> poll(double nowS) {
        var changes = new ArrayList<Change>();
        while (!scheduled.isEmpty() && scheduled.peek().atS() <= nowS) {
            Change change = scheduled.poll();
            changes.add(change);
            if (change.begins()) {
                active.add(change.fault());
                if (change.fault().fault().forS() < Double.POSITIVE_INFINITY) {
                    scheduled.add(
                            new Change(
                                    change.atS() + change.fault().fault().forS(),
                                    false,
                                    change.fault()));
                }
                for (Plan.TargetedFault next :
                        triggeredByFault.getOrDefault(change.fault().fault().name(), List.of())) {
                    scheduled.add(new Change(change.atS() + next.fault().atS(), true, next));
                }
            } else {
                active.remove(change.fault());
            }
        }
        return changes;
    }

    /**
     * Records how many attempts of a gatherer are open now. Schedules the faults whose trigger this
     * count reaches.
     */
    public void recordOpenAttempts(double nowS, String gatherer, int dispatches) {
        triggeredByOpenAttempts.removeIf(
                fault -> {
                    var when = fault.fault().when();
                    boolean reached =
                            when.gatherer().equals(gatherer) && dispatches >= when.dispatchesOut();
                    if (reached) {
                        scheduled.add(new Change(nowS + fault.fault().atS(), true, fault));
                    }
                    return reached;
                });
    }

    /** Returns the time of the next start or end, infinite if none is scheduled. */
    public double nextS() {
        return scheduled.isEmpty() ? Double.POSITIVE_INFINITY : scheduled.peek().atS();
    }

    /**
     * Returns whether a fault is still triggered by a count of open attempts, so that {@link
     * #recordOpenAttempts} has to be called.
     */
    public boolean needsOpenAttempts() {
        return !triggeredByOpenAttempts.isEmpty();
    }

    /** Returns the active faults; the caller reverts them at the end of a run. */
    public Set<Plan.TargetedFault> active() {
        return Set.copyOf(active);
    }
}
