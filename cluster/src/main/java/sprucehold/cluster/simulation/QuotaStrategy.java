package sprucehold.cluster.simulation;

import sprucehold.cluster.quota.QuotaTerms;

/** Ways to divide one shared limit among a fleet. */
public enum QuotaStrategy {
    /** Each has the same for good; nobody talks. What a gatherer does today. */
    EQUAL,
    /** Each has the same own units, and lends what it doesn't need. */
    LENT,
    /**
     * One member has all and lends it to those who ask; a tenth of each equal part stays with its
     * owner.
     */
    COORDINATED,
    /**
     * Whoever asks first gets it, as if all saw all at once: the ceiling, which no fleet can reach.
     */
    ALL_KNOWING;

    /**
     * The terms of a member; own units add up to the limit, or a little less where it can't be
     * divided evenly.
     */
    QuotaTerms terms(
            int member, int members, int bound, double windowMs, double termMs, double drift) {
        int equal = bound / members;
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
                                bound - (members - 1) * kept, kept, windowMs, 20, termMs, drift)
                        : new QuotaTerms(kept, kept, windowMs, 20, termMs, drift);
            }
            case ALL_KNOWING -> new QuotaTerms(0, 0, windowMs, 20, termMs, drift);
        };
    }
}
