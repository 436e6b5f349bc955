package sprucehold.rig.load;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Distributes the clients of a site over its gatherers in turn. A gatherer is admitted when it
 * reports that it is ready. A gatherer that has ended or is ending still receives clients until the
 * detection delay is over. If no gatherer of a site is admitted, the clients of the site are sent
 * to the gatherers of the other sites.
 */
public final class SiteBalancer {
    private final Map<String, List<String>> bySite = new HashMap<>();
    private final Map<String, Boolean> admitted = new HashMap<>();
    private final Map<String, Double> goneMs = new HashMap<>();
    private final Map<String, Integer> nextIndex = new HashMap<>();
    private final double detectionDelayMs;

    /**
     * @param detectionDelayMs time for which a gatherer that has ended or is ending still receives
     *     clients, in milliseconds
     */
    public SiteBalancer(Map<String, String> siteOf, double detectionDelayMs) {
        siteOf.forEach(
                (gatherer, site) ->
                        bySite.computeIfAbsent(site, name -> new ArrayList<>()).add(gatherer));
        bySite.values().forEach(list -> list.sort(null));
        this.detectionDelayMs = detectionDelayMs;
    }

    public void ready(String gatherer) {
        admitted.put(gatherer, true);
        goneMs.remove(gatherer);
    }

    /** Records that a gatherer has ended, or is ending and reports that it isn't ready. */
    public void gone(double nowMs, String gatherer) {
        goneMs.putIfAbsent(gatherer, nowMs);
    }

    /** Returns the gatherer for the next connection from a site, or null if none is admitted. */
    public String next(double nowMs, String site) {
        goneMs.forEach(
                (gatherer, at) -> {
                    if (nowMs >= at + detectionDelayMs) {
                        admitted.put(gatherer, false);
                    }
                });
        List<String> candidates = admittedAt(site);
        if (candidates.isEmpty()) {
            candidates =
                    bySite.keySet().stream()
                            .sorted()
                            .flatMap(other -> admittedAt(other).stream())
                            .toList();
        }
        return candidates.isEmpty()
                ? null
                : candidates.get(nextIndex.merge(site, 1, Integer::sum) % candidates.size());
    }

    /**
     * Returns whether a gatherer is not admitted. Idle connections to such a gatherer are closed.
     */
    public boolean isNotAdmitted(String gatherer) {
        return !admitted.getOrDefault(gatherer, false);
    }

    private List<String> admittedAt(String site) {
        return bySite.getOrDefault(site, List.of()).stream()
                .filter(name -> admitted.getOrDefault(name, false))
                .toList();
    }
}
