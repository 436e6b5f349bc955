package sprucehold.coordinator;

/** How a dispatch went; {@code load} is what the shard server said of its load, or null. */
public sealed interface AttemptResult {
    record Completed(byte[] value, Load load) implements AttemptResult {}

    /** The shard server failed on it, or what it sent can't be read; it may have run. */
    record Failed(Load load) implements AttemptResult {}

    /** The shard server turned it away without looking at it. */
    record Rejected(Load load) implements AttemptResult {}

    /** No connection came up for it, or the one it was on ended. */
    record ConnectionLost(WriteProgress progress) implements AttemptResult {}

    /** It was called off, as ordered. */
    record Cancelled(WriteProgress progress) implements AttemptResult {}
}
