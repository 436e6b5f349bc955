package sprucehold.tracetools.synthetic;

/**
 * What a synthetic day is to be.
 *
 * @param queries queries that clients begin; those asked again come on top
 * @param seed decides everything
 * @param gatherers how many, 1 or more
 * @param skewS gatherers' clocks differ by up to so many seconds
 * @param driftPpm and run faster or slower by up to so many millionths
 * @param hours how long the day is
 * @param tenants how many, 1 or more; their shares follow Zipf's law and each has a rhythm of its
 *     own
 * @param faults how many faults are injected into shard servers
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
                    "a day needs scans from 0, gatherers and customers from 1, hours "
                            + "above 0, and no skew, drift or troubles below 0");
        }
    }
}
