package sprucehold.cluster.quota;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.ObjDoubleConsumer;

/** Units in use, each until its use no longer counts. */
final class UsageWindow {
    private record Usage(double countsUntilMs, int units) {}

    private final Deque<Usage> usages = new ArrayDeque<>();

    /** Adds units used now. Uses must be added in the order in which they end. */
    void add(double countsUntilMs, int units) {
        usages.add(new Usage(countsUntilMs, units));
    }

    /** Removes uses that no longer count. */
    void expire(double nowMs) {
        while (!usages.isEmpty() && usages.peek().countsUntilMs <= nowMs) {
            usages.poll();
        }
    }

    /** Returns the number of units in use. */
    int units() {
        return usages.stream().mapToInt(Usage::units).sum();
    }

    boolean isEmpty() {
        return usages.isEmpty();
    }

    /** Passes the units of each use and the time of its end to {@code consumer}. */
    void forEach(ObjDoubleConsumer<Integer> consumer) {
        usages.forEach(usage -> consumer.accept(usage.units, usage.countsUntilMs));
    }
}
