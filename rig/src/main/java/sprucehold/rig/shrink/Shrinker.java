package sprucehold.rig.shrink;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import sprucehold.rig.script.Fault;

/**
 * Reduces the faults of a failing run. Drops one fault at a time as long as a run with the
 * remaining faults still fails in the same way.
 */
public final class Shrinker {
    /** Runs a script with the given faults and returns whether the failure still occurs. */
    public interface Trial {
        boolean holds(List<Fault> faults) throws IOException;
    }

    private Shrinker() {}

    /**
     * Returns faults of which none can be dropped alone. Tries to drop the longest faults first,
     * since they hide the most.
     *
     * @param faults faults with which the failure occurs
     */
    public static List<Fault> shrink(List<Fault> faults, Trial trial) throws IOException {
        List<Fault> remaining = new ArrayList<>(faults);
        boolean dropped = true;
        while (dropped) {
            dropped = false;
            List<Fault> longestFirst = new ArrayList<>(remaining);
            longestFirst.sort((one, other) -> Double.compare(other.forS(), one.forS()));
            for (Fault fault : longestFirst) {
                List<Fault> without = remaining.stream().filter(other -> other != fault).toList();
                boolean needed =
                        without.stream()
                                .anyMatch(
                                        other ->
                                                other.when() != null
                                                        && other.when()
                                                                .fault()
                                                                .equals(fault.name()));
                if (!needed && trial.holds(without)) {
                    remaining = new ArrayList<>(without);
                    dropped = true;
                }
            }
        }
        return List.copyOf(remaining);
    }
}
