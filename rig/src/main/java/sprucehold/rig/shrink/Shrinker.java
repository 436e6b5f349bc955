package sprucehold.rig.shrink;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import sprucehold.rig.script.Fault;

/** Drops faults one at a time while what is looked for stays. */
public final class Shrinker {
    /** Plays with these faults and tells whether what is looked for is still there. */
    public interface Trial {
        boolean holds(List<Fault> faults) throws IOException;
    }

    private Shrinker() {}

    /**
     * Returns faults of which none can be dropped alone; the longest-lasting are tried first, as
     * they hide most.
     *
     * @param faults with which it holds
     */
    public static List<Fault> shrink(List<Fault> faults, Trial trial) throws IOException {
        List<Fault> left = new ArrayList<>(faults);
        boolean dropped = true;
        while (dropped) {
            dropped = false;
            List<Fault> order = new ArrayList<>(left);
            order.sort((one, other) -> Double.compare(other.forS(), one.forS()));
            for (Fault fault : order) {
                List<Fault> without = left.stream().filter(other -> other != fault).toList();
                boolean needed =
                        without.stream()
                                .anyMatch(
                                        other ->
                                                other.when() != null
                                                        && other.when()
                                                                .fault()
                                                                .equals(fault.name()));
                if (!needed && trial.holds(without)) {
                    left = new ArrayList<>(without);
                    dropped = true;
                }
            }
        }
        return List.copyOf(left);
    }
}
