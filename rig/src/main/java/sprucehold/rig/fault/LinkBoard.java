package sprucehold.rig.fault;

import java.util.ArrayList;
import java.util.List;
import sprucehold.rig.plan.Plan;
import sprucehold.rig.script.Fault;

/** What the faults in force come to on each directed link. */
public final class LinkBoard {
    private final List<Plan.Befall> inForce = new ArrayList<>();
    private long version;

    /** Takes a fault on links into account, or no longer. */
    public void change(FaultBoard.Change change) {
        if (change.what().fault().kind().whom() != Fault.Whom.LINK) {
            return;
        }
        version++;
        if (change.begins()) {
            inForce.add(change.what());
        } else {
            inForce.remove(change.what());
        }
    }

    /** Grows with each change, so that whoever keeps a treatment knows when to ask again. */
    public long version() {
        return version;
    }

    /** What becomes of bytes that go from one to the other. */
    public Treatment of(String from, String to) {
        Treatment sum = Treatment.SOUND;
        for (Plan.Befall fault : inForce) {
            boolean along = fault.of().contains(from) && fault.to().contains(to);
            boolean against =
                    !fault.fault().oneWay() && fault.of().contains(to) && fault.to().contains(from);
            if (along || against) {
                sum = sum.and(fault.fault());
            }
        }
        return sum;
    }

    /** Whether anything is in force between the two, either way. */
    public boolean hurt(String one, String other) {
        return !of(one, other).equals(Treatment.SOUND) || !of(other, one).equals(Treatment.SOUND);
    }
}
