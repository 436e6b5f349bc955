package sprucehold.policy;

import java.util.ArrayDeque;

/** What one shard server was lately sent while warming up, and its last admission lottery. */
final class SlowStartWindow {
    private record Send(double atMs, double workMs) {}

    private final ArrayDeque<Send> sends = new ArrayDeque<>();
    private double lotteryValidUntilMs;
    private boolean lotteryWon;

    void add(double nowMs, double workMs) {
        sends.add(new Send(nowMs, workMs));
    }

    /** The work sent since a time, in milliseconds; forgets what was sent before it. */
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
