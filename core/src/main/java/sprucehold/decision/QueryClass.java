package sprucehold.decision;

import java.util.List;

/**
 * A class of queries: what they are worth and what may be done for them.
 *
 * @param name its name, unique in a deployment
 * @param idempotence whether a part may run more than once
 * @param latencyObjectiveMs an answer within this time, in milliseconds, earns the full weight
 * @param priorityWeight what an answer within the latency objective is worth
 * @param lateWeight the portion of the weight that a later answer earns
 * @param deduplicationWindowMs for {@link Idempotence#DEDUPLICATED}: how long after a part's first
 *     attempt shard servers drop repeats, in milliseconds
 * @param completeCoverage the share of the parts' weight, 0 to 1, that makes an answer complete
 * @param minimumCoverage the share of the parts' weight below which no answer may be given
 * @param secondStepParts how many parts the answer of the first step brings, 0 where there is one
 *     step only
 */
public record QueryClass(
        String name,
        Idempotence idempotence,
        double latencyObjectiveMs,
        double priorityWeight,
        double lateWeight,
        double deduplicationWindowMs,
        double completeCoverage,
        double minimumCoverage,
        int secondStepParts) {

    /**
     * Whether a part may run more than once. The constants stand from the freest to the strictest.
     */
    public enum Idempotence implements StoredEnum {
        /** Parts may run any number of times. */
        IDEMPOTENT(0, "REPLAYABLE"),
        /** Shard servers drop repeats of a part within the deduplication window. */
        DEDUPLICATED(1, "KEYED"),
        /** Parts may run once at the most. */
        NON_IDEMPOTENT(2, "NON_REPLAYABLE");

        private final int storedNumber;
        private final String storedName;

        Idempotence(int storedNumber, String storedName) {
            this.storedNumber = storedNumber;
            this.storedName = storedName;
        }

        @Override
        public int storedNumber() {
            return storedNumber;
        }

        @Override
        public String storedName() {
            return storedName;
        }

        /** Whether fewer repeats are allowed than by another. */
        public boolean isStricterThan(Idempotence other) {
            return compareTo(other) > 0;
        }
    }

    /**
     * This class for a query received under it, after the query classes have changed: all stays as
     * it was, but its parts may run again no more often than either version allows. A class that
     * turns idempotent frees no pending part, one that turns non-idempotent binds at once, and a
     * deduplication window never grows over an attempt already made.
     *
     * @param changed the query classes as they are now
     */
    public QueryClass restrictedBy(List<QueryClass> changed) {
        for (QueryClass now : changed) {
            if (now.name.equals(name) && !now.equals(this)) {
                return restrictedBy(now);
            }
        }
        return this;
    }

    private QueryClass restrictedBy(QueryClass now) {
        Idempotence stricter =
                now.idempotence.isStricterThan(idempotence) ? now.idempotence : idempotence;
        return new QueryClass(
                name,
                stricter,
                latencyObjectiveMs,
                priorityWeight,
                lateWeight,
                shorterDeduplicationWindowMs(now),
                completeCoverage,
                minimumCoverage,
                secondStepParts);
    }

    private double shorterDeduplicationWindowMs(QueryClass now) {
        if (now.idempotence != Idempotence.DEDUPLICATED) {
            return deduplicationWindowMs;
        }
        if (idempotence != Idempotence.DEDUPLICATED) {
            return now.deduplicationWindowMs;
        }
        return Math.min(deduplicationWindowMs, now.deduplicationWindowMs);
    }
}
