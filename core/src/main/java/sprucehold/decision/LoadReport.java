package sprucehold.decision;

/**
 * Load report of a shard server. A value that the shard server does not report is NaN.
 *
 * @param held number of parts in flight at the shard server, waiting or running
 * @param queued number of those parts that are waiting
 * @param busy fraction of the shard server's cores that are busy, 0 to 1
 */
public record LoadReport(double held, double queued, double busy) {}
