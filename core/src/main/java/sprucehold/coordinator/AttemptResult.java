package sprucehold.coordinator;

import sprucehold.decision.LoadReport;

/**
 * Result of an attempt or a health check as observed by the network code. A load report is null if
 * the shard server sent none.
 */
public sealed interface AttemptResult {
    /**
     * The shard server returned a value.
     *
     * @param value the value
     * @param load the load report of the shard server, or null
     */
    record Completed(Payload value, LoadReport load) implements AttemptResult {
        @Override
        public LoadReport loadReport() {
            return load;
        }
    }

    /**
     * The shard server returned an error or an unreadable response. The part may have run.
     *
     * @param load the load report of the shard server, or null
     */
    record Failed(LoadReport load) implements AttemptResult {
        @Override
        public LoadReport loadReport() {
            return load;
        }
    }

    /**
     * The shard server was overloaded and rejected the request without processing it.
     *
     * @param load the load report of the shard server, or null
     */
    record Rejected(LoadReport load) implements AttemptResult {
        @Override
        public LoadReport loadReport() {
            return load;
        }
    }

    /**
     * No connection could be established, or the connection in use ended.
     *
     * @param progress how much of the request had been written
     */
    record ConnectionLost(WriteProgress progress) implements AttemptResult {}

    /**
     * The attempt was cancelled by a command.
     *
     * @param progress how much of the request had been written
     */
    record Cancelled(WriteProgress progress) implements AttemptResult {}

    /** Returns the load report of the shard server, or null if it sent none. */
    default LoadReport loadReport() {
        return null;
    }
}
