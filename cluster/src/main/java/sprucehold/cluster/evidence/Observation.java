package sprucehold.cluster.evidence;

/**
 * What one gatherer saw of one shard server of late.
 *
 * @param observer who saw it
 * @param observerSite where that one stands
 * @param server of whom
 * @param serverSite where the server stands
 * @param serverStartedAtMs Unix time in milliseconds at which the server started, as the observer's
 *     list had it: what was seen of another life of the server tells nothing of this one
 * @param successes dispatches that ended well, fading
 * @param failures dispatches that failed or were late, fading
 * @param sequenceNumber grows with each sighting of one observer: of two the later counts
 */
public record Observation(
        String observer,
        String observerSite,
        String server,
        String serverSite,
        double serverStartedAtMs,
        double successes,
        double failures,
        long sequenceNumber) {}
