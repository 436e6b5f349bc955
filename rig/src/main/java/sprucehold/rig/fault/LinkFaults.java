package sprucehold.rig.fault;

import java.util.ArrayList;
import java.util.List;
import sprucehold.rig.plan.Plan;
import sprucehold.rig.script.Fault;

/** Combines the active faults of each directed link into one {@link Treatment}. */
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
     * caches a treatment can detect a stale one.
     */
    public long version() {
        return version;
    }

    /** Returns the treatment of the bytes that are sent from one party to another. */
    public Treatment of(String from, String to) {
        Treatment combined = Treatment.NO_FAULTS;
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
        return !of(one, other).equals(Treatment.NO_FAULTS)
                || !of(other, one).equals(Treatment.NO_FAULTS);
    }
}
