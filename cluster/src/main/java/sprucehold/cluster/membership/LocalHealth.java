package sprucehold.cluster.membership;

/**
 * Score of a gatherer's confidence in its own probes: the local health multiplier of Lifeguard
 * (Dadgar, Phillips, Currey 2017). While its own probes fail, the gatherer waits longer before it
 * suspects others.
 */
final class LocalHealth {
    private static final int MAX_SCORE = 8;

    /** Score at which a time is doubled: each point adds a quarter of the time. */
    private static final double DOUBLING_SCORE = 4.0;

    /**
     * Consecutive unanswered probes after which this gatherer considers itself isolated: a fault at
     * this gatherer is then more likely than a fault at all probed members. An isolated gatherer
     * suspects no one. A gatherer whose messages get lost would otherwise consider all others dead
     * and, once its messages arrive again, spread that to the whole fleet.
     */
    private static final int ISOLATED_AFTER = 3;

    private int score;
    private int unansweredInARow;

    /** Returns the score, from 0 (healthy) to 8. */
    int score() {
        return score;
    }

    /** Returns {@code ms} lengthened according to the score. */
    double stretched(double ms) {
        return ms * (1 + score / DOUBLING_SCORE);
    }

    /** Whether none of the last {@link #ISOLATED_AFTER} probes was answered. */
    boolean isIsolated() {
        return unansweredInARow >= ISOLATED_AFTER;
    }

    void probeAnswered() {
        score = Math.max(0, score - 1);
        unansweredInARow = 0;
    }

    void probeFailed() {
        wasSuspected();
        unansweredInARow++;
    }

    /** Records that another member suspected this one. */
    void wasSuspected() {
        score = Math.min(MAX_SCORE, score + 1);
    }

    /** Records that this process was paused for longer than a protocol period. */
    void wasPaused() {
        score = MAX_SCORE;
    }
}
