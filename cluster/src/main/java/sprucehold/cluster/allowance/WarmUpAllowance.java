package sprucehold.cluster.allowance;

import java.util.ArrayDeque;

/**
 * This gatherer's equal part of the units by which a limit grows while a server warms up. The units
 * are this gatherer's own and are never lent. A use counts as long as a use in a ledger does, so
 * that no window contains more uses than there are units at its end.
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

    /** Returns how many of {@code units} are free. */
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
