package sprucehold.rig.load;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Spreads a site's clients over its gatherers in turn. It admits one that says it is ready, and
 * goes on sending clients to one that is gone until it learns of it. A site with none that it knows
 * of asks the other sites'.
 */
public final class Front {
    private final Map<String, List<String>> bySite = new HashMap<>();
    private final Map<String, Boolean> admitted = new HashMap<>();
    private final Map<String, Double> goneMs = new HashMap<>();
    private final Map<String, Integer> turn = new HashMap<>();
    private final double learnsMs;

    /**
     * @param learnsMs how long after a gatherer is gone it is still sent clients, in milliseconds
     */
    public Front(Map<String, String> siteOf, double learnsMs) {
        siteOf.forEach(
                (gatherer, site) ->
                        bySite.computeIfAbsent(site, name -> new ArrayList<>()).add(gatherer));
        bySite.values().forEach(list -> list.sort(null));
        this.learnsMs = learnsMs;
    }

    public void ready(String gatherer) {
        admitted.put(gatherer, true);
        goneMs.remove(gatherer);
    }

    /** It is gone, or ends and says that it isn't ready. */
    public void gone(double nowMs, String gatherer) {
        goneMs.putIfAbsent(gatherer, nowMs);
    }

    /** The gatherer for the next connection from a site; null if none is known to be there. */
    public String next(double nowMs, String site) {
        goneMs.forEach(
                (gatherer, at) -> {
                    if (nowMs >= at + learnsMs) {
                        admitted.put(gatherer, false);
                    }
                });
        List<String> here = open(site);
        if (here.isEmpty()) {
            here =
                    bySite.keySet().stream()
                            .sorted()
                            .flatMap(other -> open(other).stream())
                            .toList();
        }
        return here.isEmpty() ? null : here.get(turn.merge(site, 1, Integer::sum) % here.size());
    }

    /** Whether it knows that a gatherer is gone, so that connections kept are given up. */
    public boolean knowsGone(String gatherer) {
        return !admitted.getOrDefault(gatherer, false);
    }

    private List<String> open(String site) {
        return bySite.getOrDefault(site, List.of()).stream()
                .filter(name -> admitted.getOrDefault(name, false))
                .toList();
    }
}
