package sprucehold.coordinator;

import java.util.List;

/** The one final answer of a scan. */
public sealed interface Answer {
    record Completed(boolean complete, List<Value> values) implements Answer {}

    /** Asking again is harmless, best after {@code retryAfterMs} (0: no advice). */
    record Rejected(double retryAfterMs) implements Answer {}

    /** No promise about its effect. */
    record Failed() implements Answer {}

    /** What a shard server made of one part. */
    record Value(int shard, byte[] bytes) {}
}
