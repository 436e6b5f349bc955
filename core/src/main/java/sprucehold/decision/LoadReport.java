package sprucehold.decision;

/**
 * What a shard server tells of its load; a value that it doesn't tell is NaN.
 *
 * @param held parts that it holds
 * @param queued parts among them that wait
 * @param busy the share of its cores that is busy, 0 to 1
 */
public record LoadReport(double held, double queued, double busy) {}
