package sprucehold.cluster.allowance;

import java.util.ArrayDeque;

/**
 * This gatherer's equal part of the units by which a limit grows while a server warms up: its own,
 * and never lent. A use counts as long as one of a ledger does, so that no window holds more uses
 * than there are units at its end.
 */
final class WarmUpAllowance {
    private record Usage(double countsUntilMs, int units) {}

    private final double usageCountsMs;
    private final ArrayDeque<Usage> usages = new ArrayDeque<>();

    /**
     * @param usageCountsMs how long a use counts, in milliseconds of the monotonic clock
     */
    WarmUpAllowance(double usageCountsMs) {
        this.usageCountsMs = usageCountsMs;
    }

    /** Units free of so many. */
    int free(double nowMs, int units) {
        while (!usages.isEmpty() && usages.peek().countsUntilMs <= nowMs) {
            usages.poll();
        }
        return Math.max(0, units - usages.stream().mapToInt(Usage::units).sum());
    }

    void consume(double nowMs, int units) {
        usages.add(new Usage(nowMs + usageCountsMs, units));
    }
}
