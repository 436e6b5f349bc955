package sprucehold.policy;

import java.util.ArrayDeque;

/**
 * Work that was recently sent to one shard server while it was warming up, and the last admission
 * lottery of the server.
 */
final class SlowStartWindow {
    private record Send(double atMs, double workMs) {}

    private final ArrayDeque<Send> sends = new ArrayDeque<>();
    private double lotteryValidUntilMs;
    private boolean lotteryWon;

    void add(double nowMs, double workMs) {
        sends.add(new Send(nowMs, workMs));
    }

    /**
     * Returns the work sent since a given time, in milliseconds. Removes records of work sent
     * earlier.
     */
    double workSinceMs(double sinceMs) {
        sends.removeIf(send -> send.atMs < sinceMs);
        return sends.stream().mapToDouble(Send::workMs).sum();
    }

    boolean lotteryExpired(double nowMs) {
        return nowMs >= lotteryValidUntilMs;
    }

    void setLottery(boolean won, double validUntilMs) {
        lotteryWon = won;
        lotteryValidUntilMs = validUntilMs;
    }

    boolean lotteryWon() {
        return lotteryWon;
    }
}
