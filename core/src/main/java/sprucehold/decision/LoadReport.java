package sprucehold.decision;

/**
 * Load report of a shard server. A value that the shard server does not report is NaN.
 *
 * @param held number of parts at the shard server
 * @param queued number of those parts that are waiting
 * @param busy fraction of the shard server's cores that are busy, 0 to 1
 */
public record LoadReport(double held, double queued, double busy) {}
