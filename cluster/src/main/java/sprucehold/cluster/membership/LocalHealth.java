package sprucehold.cluster.membership;

/**
 * How much a gatherer doubts itself: the local health multiplier of Lifeguard (Dadgar, Phillips,
 * Currey 2017). While its own probes fail, it waits longer before it suspects others.
 */
final class LocalHealth {
    private static final int MAX_SCORE = 8;

    /** Each point of the score makes times longer by this part of themselves. */
    private static final double STRETCH_PER_POINT = 4.0;

    /**
     * So many probes in a row unanswered: the fault is more likely here than at all of them. It
     * suspects nobody then: one that nobody hears would find all others dead, and once it is heard
     * again have the whole fleet believe it.
     */
    private static final int ISOLATED_AFTER = 3;

    private int score;
    private int unansweredInARow;

    /** From 0, healthy, to 8. */
    int score() {
        return score;
    }

    /** A time, longer by how much it doubts itself. */
    double stretched(double ms) {
        return ms * (1 + score / STRETCH_PER_POINT);
    }

    /** Whether no other gatherer answers. */
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

    /** Others had reason to doubt it. */
    void wasSuspected() {
        score = Math.min(MAX_SCORE, score + 1);
    }

    /** It was itself held up for longer than a protocol period. */
    void wasPaused() {
        score = MAX_SCORE;
    }
}
