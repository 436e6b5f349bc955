package sprucehold.cluster.evidence;

/**
 * Recent observations of one gatherer about one shard server.
 *
 * @param observer the gatherer that made the observation
 * @param observerSite site of the observer
 * @param server the observed server
 * @param serverSite site of the server
 * @param serverStartedAtMs Unix time in milliseconds at which the server started according to the
 *     observer's endpoint list; observations of an earlier start don't apply to a later one
 * @param successes completed attempts, decaying over time
 * @param failures attempts that failed or were late, decaying over time
 * @param sequenceNumber increases with each observation of one observer; the later of two counts
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
