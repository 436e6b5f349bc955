package sprucehold.cluster.simulation;

import sprucehold.cluster.quota.QuotaTerms;

/** Strategies for dividing one shared limit among a fleet. */
public enum QuotaStrategy {
    /**
     * All members have the same fixed number of units and exchange no messages. Gatherers without
     * coordination work this way.
     */
    EQUAL,
    /** All members have the same number of own units and lend those that they don't need. */
    LENT,
    /**
     * One member has all units and lends them to the others on request, except that each other
     * member keeps a tenth of its equal part.
     */
    COORDINATED,
    /**
     * Uses are granted in the order in which they arrive, as if all members saw all uses at once.
     * This is the upper bound, which no real fleet can reach.
     */
    ALL_KNOWING;

    /**
     * Returns the terms of a member. The own units add up to the limit, or to slightly less if it
     * can't be divided evenly.
     */
    QuotaTerms terms(
            int member, int members, int limit, double windowMs, double termMs, double drift) {
        int equal = limit / members;
        return switch (this) {
            case EQUAL -> new QuotaTerms(equal, equal, windowMs, 20, termMs, drift);
            case LENT ->
                    new QuotaTerms(
                            equal,
                            Math.min(equal, Math.max(1, equal / 4)),
                            windowMs,
                            20,
                            termMs,
                            drift);
            case COORDINATED -> {
                int kept = equal / 10;
                yield member == 0
                        ? new QuotaTerms(
                                limit - (members - 1) * kept, kept, windowMs, 20, termMs, drift)
                        : new QuotaTerms(kept, kept, windowMs, 20, termMs, drift);
            }
            case ALL_KNOWING -> new QuotaTerms(0, 0, windowMs, 20, termMs, drift);
        };
    }
}
