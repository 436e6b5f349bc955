package sprucehold.cluster.allowance;

import java.util.List;
import java.util.Set;
import sprucehold.cluster.quota.QuotaTerms;
import sprucehold.decision.SharedLimit;

/**
 * Settings of an installation for the limits that its gatherers share.
 *
 * @param self this gatherer's name
 * @param gatherers names of all gatherers, this one included. The list must be the same at every
 *     gatherer, since each computes its own units from it
 * @param shared the kinds of limits that are shared
 * @param retriesPerWindow if retries are shared, the maximum number of attempts beyond the first of
 *     each part that all gatherers together may make in a window
 * @param retryWindowMs length of that window, in milliseconds
 * @param sendWithinMs how long after the decision an attempt may still be written, in milliseconds:
 *     the time to connect, and a margin
 * @param maxClockDrift maximum deviation of any clock's rate, as a share of it
 * @param maxClockOffsetMs maximum difference between any two wall clocks, in milliseconds
 */
public record AllowanceSettings(
        String self,
        List<String> gatherers,
        Set<SharedLimit.Kind> shared,
        int retriesPerWindow,
        double retryWindowMs,
        double sendWithinMs,
        double maxClockDrift,
        double maxClockOffsetMs) {
    /**
     * Term of a lease, in milliseconds: eight ticks of the exchange. It is long enough that
     * renewals cost little, and short enough that the units that a dead gatherer had borrowed
     * return to their lenders soon.
     */
    static final double LEASE_TERM_MS = 2000;

    /** Divisor of the own units that gives the number of units that are never lent. */
    private static final int RESERVED_DIVISOR = 4;

    /**
     * @throws IllegalArgumentException if this gatherer's name isn't among all names, or a name
     *     occurs twice
     */
    public AllowanceSettings {
        gatherers = gatherers.stream().sorted().toList();
        shared = Set.copyOf(shared);
        if (!gatherers.contains(self)) {
            throw new IllegalArgumentException(
                    "fleet: " + self + " is not among the " + gatherers.size() + " names");
        }
        if (gatherers.stream().distinct().count() < gatherers.size()) {
            throw new IllegalArgumentException("fleet: each name may occur only once");
        }
    }

    /**
     * Returns this gatherer's part of {@code units}. The parts of all gatherers add up to exactly
     * {@code units}. For each limit, the remainder of an uneven division goes to different
     * gatherers, so that no gatherer always has the smaller part.
     *
     * @param limit name of the limit, the same at every gatherer
     */
    int ownUnits(String limit, int units) {
        long size = gatherers.size();
        long place = Math.floorMod(gatherers.indexOf(self) + (long) limit.hashCode(), size);
        return (int) ((place + 1) * units / size - place * units / size);
    }

    /**
     * Returns the terms of a limit at this gatherer.
     *
     * @param limit name of the limit, the same at every gatherer
     * @param units units of all gatherers together per window
     * @param reserves whether a part of the own units is never lent, so that a gatherer that has
     *     restarted or receives no messages can use it without waiting for the end of leases
     */
    QuotaTerms quotaTerms(String limit, int units, double windowMs, boolean reserves) {
        int own = ownUnits(limit, units);
        return new QuotaTerms(
                own,
                reserves ? own / RESERVED_DIVISOR : 0,
                windowMs,
                sendWithinMs,
                LEASE_TERM_MS,
                maxClockDrift);
    }
}
