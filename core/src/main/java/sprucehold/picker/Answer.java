package sprucehold.picker;

import java.util.List;

/** The one final answer of a scan. */
public sealed interface Answer {
    record Completed(boolean whole, List<Value> values) implements Answer {}

    /** Asking again is harmless, best after {@code comeBackMs} (0: no advice). */
    record Throttled(double comeBackMs) implements Answer {}

    /** No promise about its effect. */
    record Abandoned() implements Answer {}

    /** What a shard server made of one part. */
    record Value(int segment, byte[] bytes) {}
}
