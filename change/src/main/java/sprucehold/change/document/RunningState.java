package sprucehold.change.document;

import java.util.Map;
import java.util.Set;

/**
 * What runs at the moment a change is checked.
 *
 * @param openByType scans open, by table type
 * @param openByCustomer scans open, by customer
 * @param open scans and parts held
 * @param holders the running servers of each segment, as the list has them
 */
public record RunningState(
        Map<String, Integer> openByType,
        Map<String, Integer> openByCustomer,
        int open,
        Map<Integer, Set<String>> holders) {
    /** Nothing at all, as before the start. */
    public static final RunningState NOTHING = new RunningState(Map.of(), Map.of(), 0, Map.of());
}
