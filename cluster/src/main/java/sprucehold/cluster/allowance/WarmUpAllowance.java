package sprucehold.cluster.allowance;

import java.util.ArrayDeque;

/**
 * What a bound grows by as a server warms up, this gatherer's equal part of it: its own for good,
 * and never lent. A use counts as long as one of a ledger does, so that any window holds no more
 * uses than there are units at its end.
 */
final class WarmUpAllowance {
    private record Used(double countsUntil, int units) {}

    private final double countedMs;
    private final ArrayDeque<Used> used = new ArrayDeque<>();

    /**
     * @param countedMs how long a use counts, by the slow clock
     */
    WarmUpAllowance(double countedMs) {
        this.countedMs = countedMs;
    }

    /** Units free of so many. */
    int free(double slowMs, int units) {
        while (!used.isEmpty() && used.peek().countsUntil <= slowMs) {
            used.poll();
        }
        return Math.max(0, units - used.stream().mapToInt(Used::units).sum());
    }

    void use(double slowMs, int units) {
        used.add(new Used(slowMs + countedMs, units));
    }
}
