package sprucehold.cluster.evidence;

/**
 * What one gatherer observed of one shard server lately.
 *
 * @param observer who observed it
 * @param observerSite its site
 * @param server which was observed
 * @param serverSite the site of the server
 * @param serverStartedAtMs Unix time in milliseconds at which the server started, as the observer's
 *     list had it: what was observed of an earlier start tells nothing of this one
 * @param successes attempts that completed, fading
 * @param failures attempts that failed or were late, fading
 * @param sequenceNumber grows with each observation of one observer: of two the later counts
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
