package sprucehold.picker;

/** How a dispatch went; {@code load} is what the shard server said of its load, or null. */
public sealed interface Outcome {
    record Completed(byte[] value, Load load) implements Outcome {}

    /** The shard server failed on it, or what it sent can't be read; it may have run. */
    record Faulty(Load load) implements Outcome {}

    /** The shard server turned it away without looking at it. */
    record TurnedAway(Load load) implements Outcome {}

    /** No connection came up for it, or the one it was on ended. */
    record Lost(Progress progress) implements Outcome {}

    /** It was called off, as ordered. */
    record Cancelled(Progress progress) implements Outcome {}
}
