package sprucehold.cluster.allowance;

import java.util.List;
import java.util.Set;
import sprucehold.cluster.quota.QuotaTerms;
import sprucehold.decision.SharedLimit;

/**
 * What an installation states of the limits that its gatherers share.
 *
 * @param self this gatherer's name
 * @param gatherers all names, this one's included: the same at every gatherer, since from it each
 *     has its own units
 * @param shared the kinds of limits that are shared
 * @param retriesPerWindow attempts beyond each part's first that all gatherers together may make in
 *     a window, where these are shared
 * @param retryWindowMs that window, in milliseconds
 * @param sendWithinMs how long after it was decided an attempt may still be written, in
 *     milliseconds: a connect, and a little
 * @param maxClockDrift how far any clock's rate may be off, as a share of it
 * @param maxClockOffsetMs how far any two wall clocks may be apart, in milliseconds
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
     * How long a lease lasts: eight ticks of the exchange, so that renewal costs little, and what a
     * dead borrower held is back soon.
     */
    static final double LEASE_TERM_MS = 2000;

    /** One in so many own units is never lent. */
    private static final int RESERVED_PART = 4;

    /**
     * @throws IllegalArgumentException if this gatherer isn't one of all, or a name stands twice
     */
    public AllowanceSettings {
        gatherers = gatherers.stream().sorted().toList();
        shared = Set.copyOf(shared);
        if (!gatherers.contains(self)) {
            throw new IllegalArgumentException(
                    "fleet: " + self + " was expected among " + gatherers.size() + " names");
        }
        if (gatherers.stream().distinct().count() < gatherers.size()) {
            throw new IllegalArgumentException("fleet: each name once was expected");
        }
    }

    /**
     * This gatherer's part of so many units. The parts of all add up to just so many, and what
     * can't be divided evenly goes to other gatherers for each limit, so that none is always short.
     *
     * @param limit its name, the same at every gatherer
     */
    int ownUnits(String limit, int units) {
        long size = gatherers.size();
        long place = Math.floorMod(gatherers.indexOf(self) + (long) limit.hashCode(), size);
        return (int) ((place + 1) * units / size - place * units / size);
    }

    /**
     * The terms of a limit at this gatherer.
     *
     * @param limit its name, the same at every gatherer
     * @param units of all gatherers in a window
     * @param reserves whether a part of the own units is never lent, so that a gatherer that comes
     *     back, or hears nothing, can go on at once
     */
    QuotaTerms quotaTerms(String limit, int units, double windowMs, boolean reserves) {
        int own = ownUnits(limit, units);
        return new QuotaTerms(
                own,
                reserves ? own / RESERVED_PART : 0,
                windowMs,
                sendWithinMs,
                LEASE_TERM_MS,
                maxClockDrift);
    }
}
