package sprucehold.decision;

import java.util.List;

/**
 * Query class: the priority, latency objective, coverage and retry rules of a kind of query.
 *
 * @param name name, unique in a deployment
 * @param idempotence whether a part may run more than once
 * @param latencyObjectiveMs latency objective in milliseconds; an answer within this time earns the
 *     full priority weight
 * @param priorityWeight value of an answer within the latency objective
 * @param lateWeight fraction of the priority weight that a later answer earns
 * @param deduplicationWindowMs for {@link Idempotence#DEDUPLICATED}: time after a part's first
 *     attempt during which shard servers drop repeats, in milliseconds
 * @param completeCoverage share of the parts' weight from which an answer is complete, 0 to 1
 * @param minimumCoverage share of the parts' weight below which no answer may be returned, 0 to 1
 * @param secondStepParts number of parts of the second step; 0 if there is only one step. The
 *     answer of the first step determines which parts these are
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

    /** Whether a part may run more than once. Constants are ordered from least to most strict. */
    public enum Idempotence implements StoredEnum {
        /** Parts may run any number of times. */
        IDEMPOTENT(0, "REPLAYABLE"),
        /** Shard servers drop repeats of a part within the deduplication window. */
        DEDUPLICATED(1, "KEYED"),
        /** Parts may run at most once. */
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

        /** Returns whether this value allows fewer repeats than another. */
        public boolean isStricterThan(Idempotence other) {
            return compareTo(other) > 0;
        }
    }

    /**
     * Returns the query class of a query that was received before the query classes changed. It
     * equals this class, except that parts may run again no more often than either version allows.
     * Parts of the query don't become repeatable when the class becomes idempotent, and repeats
     * stop at once when the class becomes non-idempotent. The deduplication window never becomes
     * longer, so a longer one does not apply to attempts already made.
     *
     * @param changedClasses the query classes after the change
     */
    public QueryClass restrictedBy(List<QueryClass> changedClasses) {
        for (QueryClass changed : changedClasses) {
            if (changed.name.equals(name) && !changed.equals(this)) {
                return restrictedBy(changed);
            }
        }
        return this;
    }

    private QueryClass restrictedBy(QueryClass changed) {
        Idempotence stricter =
                changed.idempotence.isStricterThan(idempotence) ? changed.idempotence : idempotence;
        return new QueryClass(
                name,
                stricter,
                latencyObjectiveMs,
                priorityWeight,
                lateWeight,
                shorterDeduplicationWindowMs(changed),
                completeCoverage,
                minimumCoverage,
                secondStepParts);
    }

    private double shorterDeduplicationWindowMs(QueryClass changed) {
        if (changed.idempotence != Idempotence.DEDUPLICATED) {
            return deduplicationWindowMs;
        }
        if (idempotence != Idempotence.DEDUPLICATED) {
            return changed.deduplicationWindowMs;
        }
        return Math.min(deduplicationWindowMs, changed.deduplicationWindowMs);
    }
}
