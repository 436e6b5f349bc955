package sprucehold.cluster.quota;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.ObjDoubleConsumer;

/** Units in use, each until its use counts no more. */
final class UsageWindow {
    private record Usage(double countsUntilMs, int units) {}

    private final Deque<Usage> usages = new ArrayDeque<>();

    /** Adds units used now; uses are added in the order in which they end. */
    void add(double countsUntilMs, int units) {
        usages.add(new Usage(countsUntilMs, units));
    }

    /** Forgets uses that count no more. */
    void expire(double nowMs) {
        while (!usages.isEmpty() && usages.peek().countsUntilMs <= nowMs) {
            usages.poll();
        }
    }

    /** Units in use. */
    int units() {
        return usages.stream().mapToInt(Usage::units).sum();
    }

    boolean isEmpty() {
        return usages.isEmpty();
    }

    /** Hands out the units of each use and when it ends. */
    void forEach(ObjDoubleConsumer<Integer> consumer) {
        usages.forEach(usage -> consumer.accept(usage.units, usage.countsUntilMs));
    }
}
