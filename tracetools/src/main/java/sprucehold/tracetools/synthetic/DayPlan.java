package sprucehold.tracetools.synthetic;

/**
 * Parameters of a synthetic day.
 *
 * @param queries number of queries that clients start; queries that they send again are not counted
 * @param seed seed of all random choices of the day
 * @param gatherers number of gatherers, at least 1
 * @param skewS maximum offset of a gatherer's clock from true time, ahead or behind, in seconds
 * @param driftPpm maximum drift of a gatherer's clock, faster or slower, in parts per million
 * @param hours length of the day, in hours
 * @param tenants number of tenants, at least 1; their shares follow Zipf's law, and each is active
 *     mainly in hours of its own
 * @param faults number of faults scheduled for shard servers; a fault has no effect if its server
 *     is down or draining
 */
public record DayPlan(
        int queries,
        long seed,
        int gatherers,
        double skewS,
        double driftPpm,
        double hours,
        int tenants,
        int faults) {
    public DayPlan {
        if (queries < 0
                || gatherers < 1
                || !(hours > 0)
                || tenants < 1
                || faults < 0
                || !(skewS >= 0)
                || !(driftPpm >= 0)) {
            throw new IllegalArgumentException(
                    "a synthetic day requires at least 0 scans, 1 gatherer and 1 customer, more "
                            + "than 0 hours, and no negative skew, drift or troubles");
        }
    }
}
