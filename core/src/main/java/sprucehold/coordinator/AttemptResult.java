package sprucehold.coordinator;

import sprucehold.decision.LoadReport;

/**
 * How an attempt or a health check ended, as the network code saw it. A load report is null where
 * none came along.
 */
public sealed interface AttemptResult {
    /**
     * The shard server answered.
     *
     * @param value its answer
     * @param load what it told of its load, or null
     */
    record Completed(Payload value, LoadReport load) implements AttemptResult {
        @Override
        public LoadReport reportedLoad() {
            return load;
        }
    }

    /**
     * The shard server failed on it, or what it sent can't be read; it may have run.
     *
     * @param load what it told of its load, or null
     */
    record Failed(LoadReport load) implements AttemptResult {
        @Override
        public LoadReport reportedLoad() {
            return load;
        }
    }

    /**
     * The shard server rejected it unseen, being overloaded.
     *
     * @param load what it told of its load, or null
     */
    record Rejected(LoadReport load) implements AttemptResult {
        @Override
        public LoadReport reportedLoad() {
            return load;
        }
    }

    /**
     * No connection came up for it, or the one it was on ended.
     *
     * @param progress how far it had been written
     */
    record ConnectionLost(WriteProgress progress) implements AttemptResult {}

    /**
     * It was cancelled, as commanded.
     *
     * @param progress how far it had been written
     */
    record Cancelled(WriteProgress progress) implements AttemptResult {}

    /** What the shard server told of its load, or null where it told nothing. */
    default LoadReport reportedLoad() {
        return null;
    }
}
