package sprucehold.node;

/**
 * How a gatherer that is told to end goes on, as a state machine: it serves as before, then sends
 * away whom it answers, then turns away whoever still comes, and is over once nothing is owed to
 * anybody. Pure: told the time and what is owed.
 */
final class Drain {
    /** What is done in each phase, and so in every later one. */
    enum Phase {
        /** New clients find it not ready; all that comes is served. */
        SERVING_ON,
        /** Answers ask to go elsewhere, and connections that rest are closed. */
        SENDING_AWAY,
        /** Scans that still come are throttled at once. */
        TURNING_AWAY,
        /** Nothing is owed: the listener and all connections may be closed. */
        OVER
    }

    /**
     * What clients are still owed.
     *
     * @param scans that have no final answer
     * @param answers that aren't written out
     * @param arriving connections on which a request has begun to come in, or that have only just
     *     been opened
     */
    record Owed(int scans, int answers, int arriving) {}

    /**
     * How often it is looked whether something is owed: less than a scan's share of time is lost by
     * it.
     */
    private static final long LOOK_MS = 10;

    /**
     * How long a request that comes in slowly is waited for at the end; a sound one is whole within
     * a few ms.
     */
    private static final long ARRIVING_MS = 100;

    private final DrainSchedule schedule;
    private final double beganAt;

    Drain(DrainSchedule schedule, double beganAt) {
        this.schedule = schedule;
        this.beganAt = beganAt;
    }

    Phase phase(double nowMs, Owed owed) {
        double passed = nowMs - beganAt;
        if (passed < schedule.serveMs()) {
            return Phase.SERVING_ON;
        } else if (passed < schedule.closeMs()) {
            return Phase.SENDING_AWAY;
        }
        boolean arriving = owed.arriving > 0 && passed < schedule.closeMs() + ARRIVING_MS;
        return owed.scans > 0 || owed.answers > 0 || arriving ? Phase.TURNING_AWAY : Phase.OVER;
    }

    /** When to ask for the phase again, in milliseconds from now; at least 1. */
    long lookAgainMs(double nowMs) {
        double passed = nowMs - beganAt;
        double next =
                passed < schedule.serveMs()
                        ? schedule.serveMs()
                        : passed < schedule.closeMs() ? schedule.closeMs() : passed + LOOK_MS;
        return Math.max(1, (long) Math.ceil(next - passed));
    }

    /**
     * The most time that a scan taken now may get: its answer has to be out before the process may
     * be killed.
     */
    double timeLeftMs(double nowMs) {
        return schedule.timeLeftMs(nowMs - beganAt);
    }
}
