package sprucehold.rig.fault;

import java.util.ArrayList;
import java.util.List;
import sprucehold.rig.plan.Plan;
import sprucehold.rig.script.Fault;

/** Combines the active faults of each directed link into one {@link LinkConditions}. */
public final class LinkFaults {
    private final List<Plan.TargetedFault> active = new ArrayList<>();
    private long version;

    /**
     * Adds a fault that begins, or removes one that ends. Faults on other targets than links are
     * ignored.
     */
    public void change(FaultSchedule.Change change) {
        if (change.fault().fault().kind().whom() != Fault.Whom.LINK) {
            return;
        }
        version++;
        if (change.begins()) {
            active.add(change.fault());
        } else {
            active.remove(change.fault());
        }
    }

    /**
     * Version number of the active faults. It increases with each change, so that a caller that
     * caches the conditions of a link can detect that they are stale.
     */
    public long version() {
        return version;
    }

    /** Returns the conditions of the bytes that are sent from one party to another. */
    public LinkConditions conditions(String from, String to) {
        LinkConditions combined = LinkConditions.NO_FAULTS;
        for (Plan.TargetedFault fault : active) {
            boolean forward = fault.of().contains(from) && fault.to().contains(to);
            boolean backward =
                    !fault.fault().oneWay() && fault.of().contains(to) && fault.to().contains(from);
            if (forward || backward) {
                combined = combined.and(fault.fault());
            }
        }
        return combined;
    }

    /** Returns whether a fault is active between the two parties, in either direction. */
    public boolean hasFaults(String one, String other) {
        return !conditions(one, other).equals(LinkConditions.NO_FAULTS)
                || !conditions(other, one).equals(LinkConditions.NO_FAULTS);
    }
}
